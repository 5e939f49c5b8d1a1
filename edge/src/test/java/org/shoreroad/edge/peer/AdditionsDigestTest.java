package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.peer.Digest.ReceivedHeartbeat;
import org.shoreroad.fleet.ModelTraffic;

class AdditionsDigestTest {
  private static HeartbeatAdditions traffic(int arrived, int refused, int late, long tokens) {
    return HeartbeatAdditions.NONE.withTraffic(
        List.of(new ModelTraffic("llm", "m", "z", arrived, refused, late, tokens)));
  }

  @Test
  void trafficIsSummedAndTheReceiversOwnIsLeftOut() {
    HeartbeatAdditions member = traffic(4, 3, 2, 100);
    ReceivedHeartbeat received = new ReceivedHeartbeat(Heartbeats.of("m").withAdditions(member), 0);
    HeartbeatAdditions total = AdditionsDigest.merge(traffic(10, 1, 0, 50), List.of(received), 0);
    assertThat(total.traffic(), is(traffic(14, 4, 2, 150).traffic()));
    assertThat(
        AdditionsDigest.without(total, member).traffic(), is(traffic(10, 1, 0, 50).traffic()));
  }

  @Test
  void hugeCountsOfAPeerDoNotOverflow() {
    HeartbeatAdditions huge =
        traffic(Integer.MAX_VALUE, Integer.MAX_VALUE, Integer.MAX_VALUE, Long.MAX_VALUE);
    ReceivedHeartbeat received = new ReceivedHeartbeat(Heartbeats.of("m").withAdditions(huge), 0);
    HeartbeatAdditions total = AdditionsDigest.merge(traffic(1, 1, 1, 1), List.of(received), 0);
    assertThat(total.traffic(), contains(huge.traffic().get(0)));
  }
}
