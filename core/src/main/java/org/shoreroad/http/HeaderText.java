package org.shoreroad.http;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Conversion between text and the value of a header field, which carries text in UTF-8.
 *
 * <p>HTTP libraries hold the value of a field as a string with one character for each byte, from
 * U+0000 to U+00FF. Text from elsewhere must be converted, because a library replaces or truncates
 * all other characters. One encoding applies to all texts, so that two texts never have the same
 * bytes. All methods are pure and thread-safe.
 *
 * @see <a href="https://www.rfc-editor.org/rfc/rfc9110#section-5.5">RFC 9110, section 5.5</a>
 * @since 0.2
 */
public final class HeaderText {
  private static final int FIRST_BEYOND_ASCII = 0x80;

  private HeaderText() {}

  /**
   * Returns the value of a field that carries the text.
   *
   * @param text a text without a {@linkplain #findFault fault}, not null
   * @return the bytes of the text in UTF-8, one character for each
   */
  public static String encode(String text) {
    return isAscii(text)
        ? text
        : new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
  }

  /**
   * Returns the text that the value of a field carries.
   *
   * @param value the value, one character for each byte, not null
   * @return the text, or null if the bytes are not valid UTF-8
   */
  public static @Nullable String decode(String value) {
    if (isAscii(value)) {
      return value;
    }
    byte[] bytes = value.getBytes(StandardCharsets.ISO_8859_1);
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      return null;
    }
  }

  /**
   * Returns why no field can carry the text unchanged.
   *
   * @param text the text, not null
   * @return the fault, or null if {@link #encode} gives a value that every recipient reads alike
   */
  public static @Nullable HeaderTextFault findFault(String text) {
    Objects.requireNonNull(text, "text");
    if (text.isEmpty()) {
      return HeaderTextFault.EMPTY;
    }
    if (!HttpGrammar.isText(text)) {
      return HeaderTextFault.CONTROL_CHARACTER;
    }
    if (HttpGrammar.isBlank(text.charAt(0))
        || HttpGrammar.isBlank(text.charAt(text.length() - 1))) {
      return HeaderTextFault.OUTER_BLANK;
    }
    boolean isEncodable = isAscii(text) || StandardCharsets.UTF_8.newEncoder().canEncode(text);
    return isEncodable ? null : HeaderTextFault.UNPAIRED_SURROGATE;
  }

  private static boolean isAscii(String text) {
    for (int i = 0; i < text.length(); i++) {
      if (text.charAt(i) >= FIRST_BEYOND_ASCII) {
        return false;
      }
    }
    return true;
  }
}
