package org.shoreroad.http;

import java.util.ArrayList;
import java.util.List;

/**
 * Values of the fields that state the length of a body (RFC 9112, section 6). All methods are pure
 * and thread-safe.
 *
 * @since 0.2
 */
public final class BodyLength {
  /** Result for a list that states no length. */
  public static final long INVALID = -1;

  private static final String CHUNKED = "chunked";

  /** Maximum number of digits; every number of this length fits into a long. */
  private static final int MAX_DIGITS = 18;

  private static final int BASE = 10;

  private BodyLength() {}

  /**
   * Returns the length that a list of lengths states, in bytes.
   *
   * @param list the values of all Content-Length fields, separated by commas, not null
   * @return the length, or {@link #INVALID} if there is none, one is no number, or two differ
   */
  public static long parse(String list) {
    long length = INVALID;
    for (String element : elements(list)) {
      long next = parseNumber(element);
      if (next == INVALID || (length != INVALID && next != length)) {
        return INVALID;
      }
      length = next;
    }
    return length;
  }

  private static long parseNumber(String digits) {
    long number = 0;
    int leadingZeros = 0;
    while (leadingZeros < digits.length() - 1 && digits.charAt(leadingZeros) == '0') {
      leadingZeros++;
    }
    if (digits.length() - leadingZeros > MAX_DIGITS) {
      return INVALID;
    }
    for (int i = leadingZeros; i < digits.length(); i++) {
      if (!HttpGrammar.isDigit(digits.charAt(i))) {
        return INVALID;
      }
      number = number * BASE + (digits.charAt(i) - '0');
    }
    return number;
  }

  /**
   * Returns true if the only transfer coding is {@code chunked}, without parameters. This system
   * decodes no other one and names none in its requests.
   *
   * @param list the values of all Transfer-Encoding fields, separated by commas, not null
   */
  public static boolean isChunkedAlone(String list) {
    List<String> codings = elements(list);
    return codings.size() == 1 && codings.get(0).equalsIgnoreCase(CHUNKED);
  }

  /** Returns the elements of a list; empty ones are no elements. */
  private static List<String> elements(String list) {
    List<String> elements = new ArrayList<>(1);
    for (String element : list.split(",")) {
      String trimmed = element.trim();
      if (!trimmed.isEmpty()) {
        elements.add(trimmed);
      }
    }
    return elements;
  }
}
