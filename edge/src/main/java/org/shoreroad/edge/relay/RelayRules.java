package org.shoreroad.edge.relay;

/**
 * Limits on repeated attempts, set by the site. This class is immutable and thread-safe.
 *
 * @param repeatRatio the number of repeats allowed per first attempt, over all processes
 * @param repeatSlack the number of additional repeats allowed in a window, over all processes
 * @param repeatWindowSeconds the length of the window for both, in seconds
 * @since 0.2
 */
public record RelayRules(double repeatRatio, double repeatSlack, int repeatWindowSeconds) {}
