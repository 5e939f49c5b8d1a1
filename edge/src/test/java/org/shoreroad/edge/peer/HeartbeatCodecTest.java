package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.sync.ListNews;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;

class HeartbeatCodecTest {
  private final Heartbeat heartbeat =
      new Heartbeat(
          "node-1~a",
          17,
          -4,
          Heartbeat.Scope.HUB,
          7,
          9,
          1_000_000,
          List.of(new Heartbeat.Load("i-1", 3, 4_000, 12)),
          Set.of("i-2"),
          Map.of("i-3", "10.0.0.1:80"),
          Set.of("i-4"),
          Set.of("llm/d-1"),
          List.of(
              new FleetBox(
                  "i-5",
                  "s",
                  "10.0.0.2:80",
                  "z",
                  18,
                  true,
                  "d",
                  "m",
                  List.of("n"),
                  new Membership(new ReplicaId("r", 5), 1, MemberState.READY)),
              new FleetBox("i-6", "s", "h:1", "z", 6, false, null, null, List.of(), null)),
          new ListNews(4, 9, 1_000, 2_000, List.of(new StoreRecord(5, "i-7", null))));

  @Test
  void whatIsWrittenIsRead() throws IOException {
    assertThat(HeartbeatCodec.parse(HeartbeatCodec.toBytes(heartbeat)), is(heartbeat));
  }

  @Test
  void theValuesOfRecordsAreRead() throws IOException {
    byte[] value = {1, 2, 3};
    ListNews news = new ListNews(4, 9, 0, 0, List.of(new StoreRecord(5, "i-7", value)));
    Heartbeat read =
        HeartbeatCodec.parse(HeartbeatCodec.toBytes(Heartbeats.of("p").withListNews(news)));
    assertThat(read.listNews().records().get(0).value(), is(value));
  }

  @Test
  void bytesThatAreCutAreRefused() {
    byte[] whole = HeartbeatCodec.toBytes(heartbeat);
    for (int length = 0; length < whole.length; length++) {
      byte[] cut = java.util.Arrays.copyOf(whole, length);
      assertThrows(Exception.class, () -> HeartbeatCodec.parse(cut));
    }
  }
}
