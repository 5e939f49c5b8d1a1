package org.shoreroad.state;

import java.util.Arrays;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.shoreroad.Box;

/**
 * Fuzz test of the decoder of the control stream, with valid records of which some bytes have been
 * replaced. It guards against exceptions other than the documented one: a record that causes one is
 * read again without end.
 */
class RecordCodecFuzzTest {
  private static final Box BOX = new Box("b", "a:1", "d", "z");
  private static final List<byte[]> RECORDS =
      List.of(
          RecordCodec.toBytes(new LogRecord.ReplicaFormed("i", "m", List.of(BOX, BOX))),
          RecordCodec.toBytes(new LogRecord.BoxReleased("i", 5, "b")),
          RecordCodec.toBytes(new LogRecord.NodeLeft("i", "n", 4)));

  @Provide
  Arbitrary<byte[]> records() {
    Arbitrary<byte[]> replacement = Arbitraries.bytes().array(byte[].class).ofMaxSize(6);
    Arbitrary<byte[]> modified =
        Combinators.combine(
                Arbitraries.of(RECORDS), Arbitraries.integers().between(0, 40), replacement)
            .as(RecordCodecFuzzTest::replaced);
    return Arbitraries.oneOf(modified, Arbitraries.bytes().array(byte[].class).ofMaxSize(60));
  }

  private static byte[] replaced(byte[] record, int index, byte[] replacement) {
    byte[] changed = record.clone();
    for (int i = 0; i < replacement.length && index + i < changed.length; i++) {
      changed[index + i] = replacement[i];
    }
    return index % 7 == 0 ? Arrays.copyOf(changed, index) : changed;
  }

  @Property(tries = 20_000)
  void invalidRecordsThrowOnlyIllegalArgumentException(@ForAll("records") byte[] bytes) {
    try {
      RecordCodec.fromBytes(bytes);
    } catch (IllegalArgumentException e) {
      // The only exception that the decoder may throw.
    }
  }
}
