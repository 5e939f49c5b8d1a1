package org.shoreroad.traffic;

/**
 * What an upstream of a service bears while it is cold, for some seconds after its start.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param coldSeconds the time for which an upstream is cold after a start, in seconds, 0 to {@link
 *     #MAX_SECONDS}
 * @param requestsPerSecond the requests per second that a cold upstream bears from all processes
 *     together, above 0, at most {@link #MAX_PER_SECOND}
 * @since 0.2
 */
public record ColdStart(double coldSeconds, double requestsPerSecond) {
  /** Upper bound of the time; an upstream that needs longer should not be listed yet. */
  public static final double MAX_SECONDS = 600;

  /** Upper bound of the rate, above what any upstream serves. */
  public static final double MAX_PER_SECOND = 1e6;

  /** Checks the ranges. */
  public ColdStart {
    if (!(coldSeconds >= 0 && coldSeconds <= MAX_SECONDS)) {
      throw new IllegalArgumentException("cold time out of range: " + coldSeconds);
    }
    if (!(requestsPerSecond > 0 && requestsPerSecond <= MAX_PER_SECOND)) {
      throw new IllegalArgumentException("cold rate out of range: " + requestsPerSecond);
    }
  }

  /** Returns the time for which an upstream is cold after a start, in milliseconds. */
  public long coldMs() {
    return (long) Math.ceil(coldSeconds * 1e3);
  }
}
