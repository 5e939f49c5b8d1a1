package org.shoreroad.codec;

import java.io.IOException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reader of binary values that checks a stated length before it allocates memory.
 *
 * <p>The library allocates what a message states. A message of five bytes may state 2 GB, which
 * ends in an {@code OutOfMemoryError}. All methods are thread-safe.
 *
 * @since 0.2
 */
public final class BinaryValue {
  private BinaryValue() {}

  /**
   * Returns the binary value at the current position.
   *
   * @param in the unpacker of the message, not null
   * @param messageBytes the size of the whole message, in bytes
   * @throws IOException if the value is longer than the rest of the message
   */
  public static byte[] unpack(MessageUnpacker in, int messageBytes) throws IOException {
    int length = in.unpackBinaryHeader();
    if (length > messageBytes - in.getTotalReadBytes()) {
      throw new IOException("a value of " + length + " bytes is longer than its message");
    }
    return in.readPayload(length);
  }
}
