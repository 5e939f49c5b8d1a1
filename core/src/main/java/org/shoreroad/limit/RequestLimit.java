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
  /** Longest text that is read; a text of this length holds any useful limit. */
  private static final int MAX_TEXT_LENGTH = 24;

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
    String trimmed = text.trim();
    return isDecimal(trimmed)
        ? Optional.of(new RequestLimit(Double.parseDouble(trimmed)))
        : Optional.empty();
  }

  /** Returns true for digits with at most one point: the library takes {@code NaN} and more. */
  private static boolean isDecimal(String text) {
    if (text.length() > MAX_TEXT_LENGTH) {
      return false;
    }
    int digits = 0;
    int points = 0;
    for (int i = 0; i < text.length(); i++) {
      char next = text.charAt(i);
      if (next == '.') {
        points++;
      } else if (next >= '0' && next <= '9') {
        digits++;
      } else {
        return false;
      }
    }
    return digits > 0 && points <= 1;
  }

  /** Returns the text form, such as {@code 1.2/s}. */
  @Override
  public String toString() {
    return perSecond + "/s";
  }
}
