package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.peer.HeartbeatAdditions;
import org.shoreroad.edge.peer.Heartbeats;
import org.shoreroad.fleet.ModelTraffic;

class TrafficMeterTest {
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private long nowNanos = 900 * INTERVAL_NANOS;
  private final TrafficMeter meter = new TrafficMeter(() -> nowNanos, "z1", new EdgeMetrics());

  private static Heartbeat heartbeat(ModelTraffic... traffic) {
    return Heartbeats.of("p").withAdditions(HeartbeatAdditions.NONE.withTraffic(List.of(traffic)));
  }

  @Test
  void countsOfAllProcessesAndZonesAreSummed() {
    meter.recordArrival("llm", "m", 100);
    meter.recordRefusal("llm", "m");
    nowNanos += INTERVAL_NANOS;
    meter.setPeerHeartbeats(
        List.of(
            heartbeat(
                new ModelTraffic("llm", "m", "z1", 5, 2, 1, 500),
                new ModelTraffic("llm", "m", "z2", 7, 0, 0, 700)),
            heartbeat(
                new ModelTraffic("llm", "m", "z1", 1, 0, 0, 50),
                new ModelTraffic("llm", "other", "z1", 9, 9, 9, 9))));
    assertThat(meter.total("llm", "m"), is(new ModelTraffic("llm", "m", "z1", 14, 3, 1, 1_350)));
  }

  @Test
  void heartbeatsCarryTheOwnCountsOnly() {
    meter.recordArrival("llm", "m", 100);
    meter.recordLate("llm", "m");
    nowNanos += INTERVAL_NANOS;
    meter.setPeerHeartbeats(List.of(heartbeat(new ModelTraffic("llm", "m", "z1", 5, 2, 1, 500))));
    assertThat(
        meter.contribute(HeartbeatAdditions.NONE).traffic(),
        contains(new ModelTraffic("llm", "m", "z1", 1, 0, 1, 100)));
  }

  @Test
  void countsOfAProcessThatEndedExpireWithItsHeartbeat() {
    meter.setPeerHeartbeats(List.of(heartbeat(new ModelTraffic("llm", "m", "z1", 5, 2, 1, 500))));
    meter.setPeerHeartbeats(List.of());
    assertThat(meter.total("llm", "m"), is(new ModelTraffic("llm", "m", "z1", 0, 0, 0, 0)));
  }
}
