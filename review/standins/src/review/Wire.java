package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket, as far as the stand-ins need it. */
final class Wire {
  private Wire() {}

  /** A start line with its headers; header names are in lower case. */
  record Head(String line, Map<String, String> headers) {
    String header(String name) {
      return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }
  }

  /** Returns the next head, or null if the connection ends before its first byte. */
  static Head readHead(InputStream in) throws IOException {
    String line = readLine(in);
    if (line == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String next = readLine(in); next != null && !next.isEmpty(); next = readLine(in)) {
      int colon = next.indexOf(':');
      headers.put(
          next.substring(0, colon).trim().toLowerCase(Locale.ROOT),
          next.substring(colon + 1).trim());
    }
    return new Head(line, headers);
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int next = in.read(); ; next = in.read()) {
      if (next < 0) {
        if (line.size() == 0) {
          return null;
        }
        throw new EOFException("the connection ended inside a line");
      }
      if (next == '\n') {
        String text = line.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      line.write(next);
    }
  }

  /** Returns the body of a message with a length or in chunks; an end inside it is an exception. */
  static byte[] readBody(InputStream in, Head head) throws IOException {
    if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new EOFException("the connection ended before the last chunk");
        }
        int length = Integer.parseInt(size.trim(), 16);
        body.write(readExactly(in, length));
        readLine(in);
        if (length == 0) {
          return body.toByteArray();
        }
      }
    }
    String length = head.header("content-length");
    return length.isEmpty() ? new byte[0] : readExactly(in, Integer.parseInt(length));
  }

  static byte[] readExactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the connection ended inside a body");
    }
    return bytes;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
