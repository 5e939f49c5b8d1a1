package org.shoreroad.limit;

import java.util.Optional;

/**
 * Rate of requests that an upstream accepts from all processes together.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param perSecond the requests per second, finite, 0 or more
 * @since 0.2
 */
public record RequestLimit(double perSecond) {
  /** Checks the range. */
  public RequestLimit {
    if (!Double.isFinite(perSecond) || perSecond < 0) {
      throw new IllegalArgumentException("not a request limit: " + perSecond);
    }
  }

  /**
   * Parses a limit that an upstream has stated.
   *
   * @param text the text, not null
   * @return the limit, or empty if the text isn't a decimal number: digits with at most one decimal
   *     point
   */
  public static Optional<RequestLimit> parse(String text) {
    return DecimalText.parse(text).map(RequestLimit::new);
  }

  /** Returns the text form, such as {@code 1.2/s}. */
  @Override
  public String toString() {
    return perSecond + "/s";
  }
}
