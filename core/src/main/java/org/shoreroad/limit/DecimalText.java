package org.shoreroad.limit;

import java.util.Optional;

/**
 * Parser of the decimal numbers in upstream answers: digits with at most one decimal point.
 *
 * <p>All methods are pure and thread-safe.
 */
final class DecimalText {
  /** Maximum length of the text, which is enough for any useful number. */
  private static final int MAX_LENGTH = 24;

  private DecimalText() {}

  /** Returns the number, finite and 0 or more, or empty if the text isn't a decimal number. */
  static Optional<Double> parse(String text) {
    String trimmed = text.trim();
    return isDecimal(trimmed) ? Optional.of(Double.valueOf(trimmed)) : Optional.empty();
  }

  /** Rejects what {@link Double#valueOf} also accepts, such as {@code NaN}, signs and exponents. */
  private static boolean isDecimal(String text) {
    if (text.length() > MAX_LENGTH) {
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
}
