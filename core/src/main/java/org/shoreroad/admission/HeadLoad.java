package org.shoreroad.admission;

/**
 * Load of a replica head at one time, as input of an {@link EngineForecast}.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param open the number of open requests, running or queued, 0 or more
 * @param unreadTokens the prompt tokens that are still to be read, 0 or more
 * @param contextTokens the tokens of context of the running requests, 0 or more
 * @param slowness the measured duration of a pass divided by the specified one, at least 1
 * @since 0.2
 */
public record HeadLoad(int open, long unreadTokens, long contextTokens, double slowness) {}
