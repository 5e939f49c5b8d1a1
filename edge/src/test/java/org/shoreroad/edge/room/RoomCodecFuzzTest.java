package org.shoreroad.edge.room;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.msgpack.core.MessagePackException;

/**
 * Fuzz test of the decoder of messages on room, with random bytes and altered messages. It may
 * throw only the exceptions that the receiver handles as an unreadable message.
 */
class RoomCodecFuzzTest {
  private static Arbitrary<byte[]> altered(byte[] message) {
    Arbitrary<Integer> at = Arbitraries.integers().between(0, message.length - 1);
    return Combinators.combine(at, Arbitraries.bytes(), at, Arbitraries.bytes())
        .as(
            (one, first, two, second) -> {
              byte[] copy = message.clone();
              copy[one] = first;
              copy[two] = second;
              return copy;
            });
  }

  @Provide
  Arbitrary<byte[]> frames() {
    List<Arbitrary<byte[]>> all =
        new ArrayList<>(
            RoomCodecTest.messages().stream()
                .map(message -> altered(RoomCodec.toBytes(message)))
                .toList());
    all.add(Arbitraries.bytes().array(byte[].class).ofMaxSize(200));
    return Arbitraries.oneOf(all);
  }

  @Property
  void decoderThrowsOnlyHandledExceptions(@ForAll("frames") byte[] bytes) {
    try {
      RoomCodec.parse(bytes);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      // The receiver handles these as an unreadable message.
    }
  }
}
