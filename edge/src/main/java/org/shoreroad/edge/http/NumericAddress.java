package org.shoreroad.edge.http;

/**
 * Validation of addresses received from other programs.
 *
 * <p>Only a numeric IPv4 address with a port is valid, since the lookup of a name blocks the event
 * loop. Implemented without {@code java.util.regex}, which nothing else loads at startup. All
 * methods are pure and thread-safe.
 *
 * @since 0.2
 */
public final class NumericAddress {
  private static final int PARTS = 4;
  private static final int MAX_PART = 255;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_DIGITS = 5;

  private NumericAddress() {}

  /** Returns true if the text is an address such as {@code 10.0.0.1:7340}. */
  public static boolean isValid(String text) {
    int colon = text.indexOf(':');
    if (colon < 0 || !isNumber(text.substring(colon + 1), 1, MAX_PORT)) {
      return false;
    }
    String[] parts = text.substring(0, colon).split("\\.", -1);
    if (parts.length != PARTS) {
      return false;
    }
    for (String part : parts) {
      if (!isNumber(part, 0, MAX_PART)) {
        return false;
      }
    }
    return true;
  }

  private static boolean isNumber(String text, int min, int max) {
    if (text.isEmpty() || text.length() > MAX_DIGITS) {
      return false;
    }
    int number = 0;
    for (int i = 0; i < text.length(); i++) {
      int digit = text.charAt(i) - '0';
      if (digit < 0 || digit > 9) {
        return false;
      }
      number = 10 * number + digit;
    }
    return number >= min && number <= max;
  }
}
