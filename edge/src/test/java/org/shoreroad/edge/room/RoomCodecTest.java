package org.shoreroad.edge.room;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.ReturnPlan.Ticket;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.admission.RoomRefusal;
import org.shoreroad.admission.RoomRequest;

class RoomCodecTest {
  static final RoomRequest.Key KEY = new RoomRequest.Key("front-1~a", 7);

  static RoomRequest request(int promptTokens, int priority) {
    return new RoomRequest(
        KEY,
        "z",
        "office",
        priority,
        promptTokens,
        40,
        12,
        600,
        100,
        2_000,
        -5,
        Set.of("h-1", "h-2"),
        true);
  }

  /** Returns a message of each kind. */
  static List<RoomMessage> messages() {
    return List.of(
        new RoomMessage.Ask(request(20, 1), "llm", "m"),
        new RoomMessage.Waiting(KEY),
        new RoomMessage.Decided(RoomDecision.granted(KEY, "h-1"), 3),
        new RoomMessage.Decided(RoomDecision.refused(KEY, RoomRefusal.CACHE_FULL, 250), 0),
        new RoomMessage.End(KEY, GrantEnd.REJECTED),
        new RoomMessage.Renewal("front-1~a", Set.of(1L, 1L << 40)),
        new RoomMessage.Renewed("front-1~a", Set.of(1L, 1L << 40), Set.of(2L)),
        new RoomMessage.Tickets(
            "llm", "m", List.of(new Ticket(-9, 300, 12), new Ticket(4, -20, 0))));
  }

  private static RoomMessage parse(byte[] bytes) throws IOException {
    return RoomCodec.parse(bytes).orElseThrow();
  }

  @Test
  void eachMessageIsReadAsItWasWritten() throws Exception {
    for (RoomMessage message : messages()) {
      byte[] bytes = RoomCodec.toBytes(message);
      assertThat(RoomCodec.isRoomMessage(bytes), is(true));
      assertThat(parse(bytes), is(message));
    }
  }

  @Test
  void noticesHeartbeatsAndEmptyFramesAreOthers() {
    assertThat(RoomCodec.isRoomMessage(new byte[] {1, 2}), is(false));
    assertThat(RoomCodec.isRoomMessage(new byte[] {(byte) 0xa5, 'f'}), is(false));
    assertThat(RoomCodec.isRoomMessage(new byte[0]), is(false));
  }

  @Test
  void aKindOfALaterReleaseIsPassedOver() throws Exception {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(2).packInt(99).packString("new");
      assertThat(RoomCodec.parse(out.toByteArray()), is(Optional.empty()));
    }
  }

  @Test
  void aFieldOfALaterReleaseIsPassedOver() throws Exception {
    byte[] bytes = RoomCodec.toBytes(new RoomMessage.Waiting(KEY));
    byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
    assertThat(parse(longer), is(new RoomMessage.Waiting(KEY)));
  }

  @Test
  void aReasonOfALaterReleaseIsAGeneralOne() throws Exception {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packInt(2).packInt(3).packString("p").packLong(1).packBoolean(false);
      out.packString("LATER").packInt(5).packInt(0);
      RoomMessage.Decided decided = (RoomMessage.Decided) parse(out.toByteArray());
      assertThat(decided.decision().refusal(), is(RoomRefusal.TARGET_OUT_OF_REACH));
      assertThat(decided.decision().retryAfterMs(), is(5));
    }
  }

  @Test
  void negativeNumbersAreRejected() {
    byte[] tokens = RoomCodec.toBytes(new RoomMessage.Ask(request(-1, 1), "llm", "m"));
    byte[] priority = RoomCodec.toBytes(new RoomMessage.Ask(request(1, -1), "llm", "m"));
    assertThrows(IllegalArgumentException.class, () -> RoomCodec.parse(tokens));
    assertThrows(IllegalArgumentException.class, () -> RoomCodec.parse(priority));
  }
}
