package org.shoreroad.edge.room;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.shoreroad.admission.RoomRequest;

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
}
