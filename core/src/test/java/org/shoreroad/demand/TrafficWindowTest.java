package org.shoreroad.demand;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.ModelTraffic;

class TrafficWindowTest {
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  private final TrafficWindow window = new TrafficWindow();
  private long nowNanos = 7_000 * INTERVAL_NANOS;

  @Test
  void requestsCountFromTheEndOfTheirIntervalForOneSecond() {
    window.recordArrival("llm", "m", 100, nowNanos);
    window.recordArrival("llm", "m", 50, nowNanos);
    window.recordRefusal("llm", "m", nowNanos);
    window.recordLate("llm", "m", nowNanos);
    assertThat(window.traffic("z", nowNanos), is(empty()));
    ModelTraffic counted = new ModelTraffic("llm", "m", "z", 2, 1, 1, 150);
    for (int i = 0; i < 5; i++) {
      nowNanos += INTERVAL_NANOS;
      assertThat(window.traffic("z", nowNanos), contains(counted));
    }
    nowNanos += INTERVAL_NANOS;
    assertThat(window.traffic("z", nowNanos), is(empty()));
  }

  @Test
  void modelsAreCountedSeparately() {
    window.recordArrival("llm", "a", 1, nowNanos);
    window.recordArrival("llm", "b", 1, nowNanos);
    assertThat(window.traffic("z", nowNanos + INTERVAL_NANOS), hasSize(2));
  }

  @Test
  void numberOfModelsIsBoundedAndUnusedOnesMakeRoom() {
    for (int i = 0; i < 200; i++) {
      window.recordArrival("llm", "m" + i, 1, nowNanos);
    }
    nowNanos += INTERVAL_NANOS;
    assertThat(window.traffic("z", nowNanos), hasSize(64));
    nowNanos += 10 * INTERVAL_NANOS;
    window.recordArrival("llm", "later", 1, nowNanos);
    assertThat(
        window.traffic("z", nowNanos + INTERVAL_NANOS),
        contains(new ModelTraffic("llm", "later", "z", 1, 0, 0, 1)));
  }

  @Test
  void modelsThatAreReportedAgainAndAgainMakeRoomOnceUnused() {
    for (int i = 0; i < 64; i++) {
      window.recordArrival("llm", "m" + i, 1, nowNanos);
    }
    for (int i = 0; i < 10; i++) {
      nowNanos += INTERVAL_NANOS;
      window.traffic("z", nowNanos);
    }
    window.recordArrival("llm", "later", 1, nowNanos);
    assertThat(
        window.traffic("z", nowNanos + INTERVAL_NANOS),
        contains(new ModelTraffic("llm", "later", "z", 1, 0, 0, 1)));
  }

  @Test
  void modelWithRequestsInTheCurrentIntervalIsInUse() {
    for (int i = 0; i < 64; i++) {
      window.recordArrival("llm", "m" + i, 1, nowNanos);
    }
    window.recordArrival("llm", "later", 1, nowNanos);
    assertThat(window.traffic("z", nowNanos + INTERVAL_NANOS), hasSize(64));
  }

  @Test
  void requestsOfThePauseOfASuspendedProcessExpire() {
    window.recordArrival("llm", "m", 1, nowNanos);
    assertThat(window.traffic("z", nowNanos + 1_000 * INTERVAL_NANOS), is(empty()));
  }
}
