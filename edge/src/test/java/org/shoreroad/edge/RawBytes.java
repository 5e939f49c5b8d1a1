package org.shoreroad.edge;

import java.nio.charset.StandardCharsets;

/** Bytes of tests, written as texts. */
public final class RawBytes {
  private static final int HEX = 16;
  private static final int HEX_DIGITS = 2;

  private RawBytes() {}

  /**
   * Returns the bytes of a text, in which {@code \r}, {@code \n}, {@code \t} and {@code \xNN} stand
   * for single bytes.
   */
  public static byte[] parse(String text) {
    String escaped = text.replace("\\r", "\r").replace("\\n", "\n").replace("\\t", "\t");
    StringBuilder plain = new StringBuilder();
    int from = 0;
    for (int at = escaped.indexOf("\\x"); at >= 0; at = escaped.indexOf("\\x", from)) {
      int end = at + 2 + HEX_DIGITS;
      plain.append(escaped, from, at);
      plain.append((char) Integer.parseInt(escaped.substring(at + 2, end), HEX));
      from = end;
    }
    return plain.append(escaped.substring(from)).toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
