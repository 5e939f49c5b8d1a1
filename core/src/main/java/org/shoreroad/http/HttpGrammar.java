package org.shoreroad.http;

/**
 * Character classes and ranges of HTTP.
 *
 * <p>Libraries that parse messages accept more than the grammar permits, so that what they return
 * must be checked before it is passed on. All methods are pure and thread-safe.
 *
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9110">RFC 9110</a>
 * @since 0.2
 */
public final class HttpGrammar {
  private static final int MIN_STATUS = 100;
  private static final int MIN_FINAL_STATUS = 200;
  private static final int MAX_STATUS = 599;
  private static final int DELETE = 0x7f;
  private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
  private static final boolean[] TOKEN = new boolean[DELETE];

  static {
    for (char c = 0; c < DELETE; c++) {
      boolean isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
      TOKEN[c] = isLetter || isDigit(c) || TOKEN_SYMBOLS.indexOf(c) >= 0;
    }
  }

  private HttpGrammar() {}

  /** Returns true if the character is a decimal digit. */
  public static boolean isDigit(int c) {
    return c >= '0' && c <= '9';
  }

  /** Returns true if the character is a blank between elements: a space or a tab. */
  public static boolean isBlank(int c) {
    return c == ' ' || c == '\t';
  }

  /** Returns true if the character may occur in a token, such as the name of a field. */
  public static boolean isTokenChar(int c) {
    return c >= 0 && c < DELETE && TOKEN[c];
  }

  /**
   * Returns true if the character may occur in the value of a field or in a reason phrase: a blank,
   * a visible character, or one beyond ASCII.
   */
  public static boolean isTextChar(int c) {
    return c == '\t' || (c >= ' ' && c != DELETE);
  }

  /** Returns true if the text, which is not null, is a token. */
  public static boolean isToken(CharSequence text) {
    return text.length() > 0 && text.chars().allMatch(HttpGrammar::isTokenChar);
  }

  /** Returns true if the text, which is not null, is the value of a field; it may be empty. */
  public static boolean isText(CharSequence text) {
    return text.chars().allMatch(HttpGrammar::isTextChar);
  }

  /** Returns true if the status is in the range that is defined, from 100 to 599. */
  public static boolean isStatus(int status) {
    return status >= MIN_STATUS && status <= MAX_STATUS;
  }

  /** Returns true if the status is that of a final answer, from 200 to 599. */
  public static boolean isFinalStatus(int status) {
    return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
  }
}
