package org.shoreroad.traffic;

/**
 * What a caller may send, and how long it may take.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest head of a request, in bytes
 * @param maxBodyBytes the largest body of a request, in bytes
 * @param headerTimeoutMs the longest time for a head to arrive, in milliseconds
 * @param idleTimeoutMs the longest rest of a connection between two requests, in milliseconds
 * @since 0.2
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
  /** What holds until a configuration is known: the middle of what sites use. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
