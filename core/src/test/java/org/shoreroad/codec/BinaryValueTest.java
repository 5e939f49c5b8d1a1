package org.shoreroad.codec;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

class BinaryValueTest {
  @Test
  void valuesAreRead() throws Exception {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packLong(7).packBinaryHeader(3).writePayload(new byte[] {1, 2, 3});
      out.packBinaryHeader(0);
      byte[] message = out.toByteArray();
      MessageUnpacker in = MessagePack.newDefaultUnpacker(message);
      assertThat(in.unpackLong(), is(7L));
      assertThat(BinaryValue.unpack(in, message.length), is(new byte[] {1, 2, 3}));
      assertThat(BinaryValue.unpack(in, message.length), is(new byte[0]));
    }
  }

  @Test
  void valueLongerThanItsMessageIsRejected() {
    for (int firstByte : new int[] {0, 1, 0x3f, 0x7f}) {
      byte[] message = {(byte) 0xc6, (byte) firstByte, -1, -1, -1, 1, 2, 3};
      MessageUnpacker in = MessagePack.newDefaultUnpacker(message);
      assertThrows(IOException.class, () -> BinaryValue.unpack(in, message.length));
    }
  }
}
