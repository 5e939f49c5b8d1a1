package org.shoreroad.limit;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Time for which an upstream that rejects a request asks the sending process to send nothing more.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param nanos the time, in nanoseconds, 0 or more
 * @since 0.2
 */
public record RestTime(long nanos) {
  /** Maximum; an upstream that needs longer should be taken off the list. */
  static final RestTime LONGEST = new RestTime(TimeUnit.HOURS.toNanos(1));

  private static final double NANOS_PER_SECOND = 1e9;

  /** Checks the range. */
  public RestTime {
    if (nanos < 0) {
      throw new IllegalArgumentException("time is negative: " + nanos);
    }
  }

  /**
   * Parses a time that an upstream has stated.
   *
   * @param text the seconds, not null
   * @return the time, an hour at most, or empty if the text isn't a decimal number, such as a date
   */
  public static Optional<RestTime> parse(String text) {
    return DecimalText.parse(text).map(RestTime::ofSeconds);
  }

  private static RestTime ofSeconds(double seconds) {
    double nanos = seconds * NANOS_PER_SECOND;
    return nanos >= LONGEST.nanos ? LONGEST : new RestTime((long) nanos);
  }

  /** Returns the time in seconds. */
  public double seconds() {
    return nanos / NANOS_PER_SECOND;
  }
}
