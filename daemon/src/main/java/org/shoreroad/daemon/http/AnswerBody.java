package org.shoreroad.daemon.http;

import java.io.IOException;
import okhttp3.Response;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;

/**
 * Reads bodies of answers up to a maximum size, since a server may go on until the connection is
 * closed. All methods are thread-safe.
 */
public final class AnswerBody {
  /** Maximum size of a body that is read as a whole, in bytes. */
  static final long MAX_BYTES = 8_388_608;

  /** Maximum size of a line of a stream, in bytes. */
  static final long MAX_LINE_BYTES = 1_048_576;

  private AnswerBody() {}

  /**
   * Returns the whole body.
   *
   * @throws IOException if it is incomplete or exceeds the maximum size
   */
  public static byte[] read(Response response) throws IOException {
    BufferedSource source = response.body().source();
    if (source.request(MAX_BYTES + 1)) {
      throw new IOException("the body is larger than " + MAX_BYTES + " bytes");
    }
    return source.readByteArray();
  }

  /**
   * Returns the next line, or null at the end of the body.
   *
   * @throws IOException if the body is incomplete or the line exceeds the maximum size
   */
  public static @Nullable String readLine(BufferedSource source) throws IOException {
    if (source.indexOf((byte) '\n', 0, MAX_LINE_BYTES) < 0 && source.request(MAX_LINE_BYTES)) {
      throw new IOException("the line is longer than " + MAX_LINE_BYTES + " bytes");
    }
    return source.readUtf8Line();
  }
}
