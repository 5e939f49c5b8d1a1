package org.shoreroad.edge.room;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.shoreroad.admission.RoomRequest;
import org.shoreroad.edge.EventLog;

class ModelRoomTest extends RoomFixture {
  private static final RoomReplies CLOSED =
      new RoomReplies() {
        @Override
        public boolean isOpen() {
          return false;
        }

        @Override
        public void send(RoomMessage message) {}
      };

  @Test
  void aRequestWhoseDecisionFailsIsNotKept() {
    FakeLedger ledger = new FakeLedger(SLOTS, 5);
    ledger.isFailing = true;
    ModelRoom room = new ModelRoom(LLM, "m", ledger, ticks::nowNanos, metrics);
    RoomRequest request = RoomCodecTest.request(20, 1);
    assertThrows(IllegalStateException.class, () -> room.ask(request, CLOSED));
    assertThat(room.isAnyWaiting(), is(false));
    assertThat(room.knows(request.key()), is(false));
  }

  @Test
  void theSummaryNamesTheMostFrequentOfMany() {
    Map<String, Integer> counts = Map.of("a", 1, "b", 3, "c", 2, "d", 3);
    assertThat(ModelRoom.mostFrequent(counts, 2), is("{b=3, d=3, others=3}"));
    assertThat(ModelRoom.mostFrequent(Map.of("a", 1, "b", 3), 2), is("{a=1, b=3}"));
    assertThat(ModelRoom.mostFrequent(Map.of(), 2), is("{}"));
  }

  @Test
  void inputOutOfRangeIsCountedAndNamedOnce() {
    ByteArrayOutputStream written = new ByteArrayOutputStream();
    EventLog lines = new EventLog("t", ticks::nowNanos, written);
    RoomLedger ledger =
        RoomLedger.of(LLM.engine(), LLM.engine().models().get(0), new SplittableRandom(1));
    ModelRoom room = new ModelRoom(LLM, "m", ledger, ticks::nowNanos, metrics);
    room.ask(RoomCodecTest.request(20, 1), CLOSED);
    room.summarize(lines);
    assertThat(text(lines, written), containsString("\"corrected\":0"));
    room.ask(RoomCodecTest.request(20, -7), CLOSED);
    room.summarize(lines);
    room.ask(RoomCodecTest.request(-20, 1), CLOSED);
    room.summarize(lines);
    String text = text(lines, written);
    assertThat(text, containsString("\"corrected\":2"));
    assertThat(text, containsString("\"source\":\"" + SELF + "\""));
    assertThat(text.split("room_input_corrected", -1).length - 1, is(1));
    assertThat(
        metrics.toPrometheusText(),
        containsString("shoreroad_room_corrected_total{reason=\"request\"} 2"));
  }

  private static String text(EventLog lines, ByteArrayOutputStream written) {
    lines.flush();
    return written.toString(StandardCharsets.UTF_8);
  }
}
