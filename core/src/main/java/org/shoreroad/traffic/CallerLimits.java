package org.shoreroad.traffic;

/**
 * Limits of the sizes and times of requests from callers.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param maxHeaderBytes the maximum size of the head of a request, in bytes
 * @param maxBodyBytes the maximum size of the body of a request, in bytes
 * @param headerTimeoutMs the maximum time to receive a head, in milliseconds
 * @param idleTimeoutMs the maximum idle time of a connection between requests, in milliseconds
 * @since 0.2
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, int headerTimeoutMs, int idleTimeoutMs) {
  /** Limits until the first configuration is read, in the middle of the range that sites use. */
  public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);
}
