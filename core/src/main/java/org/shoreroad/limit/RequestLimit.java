package org.shoreroad.limit;

import java.util.Optional;

/**
 * How many requests a second an upstream takes from all processes together.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param perSecond the requests a second, finite, 0 or more
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
   * Reads a limit that an upstream has named.
   *
   * @param text the text, not null
   * @return the limit, or empty if the text is no decimal number: anything but digits with at most
   *     one point among them
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
