package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PaceMeterTest {
  private static final double PASS_MS = 40;

  private final PaceMeter meter = new PaceMeter();
  private long nowNanos = TimeUnit.HOURS.toNanos(1);

  private void recordPasses(int count, long pauseMs) {
    for (int i = 0; i < count; i++) {
      long pauseNanos = TimeUnit.MILLISECONDS.toNanos(pauseMs);
      nowNanos += pauseNanos;
      meter.record(pauseNanos, PASS_MS, nowNanos);
    }
  }

  @Test
  void anEngineCountsAsSpecifiedUntilMeasuredSlower() {
    assertThat(meter.slowness(nowNanos), is(1.0));
    recordPasses(30, 160);
    assertThat(meter.slowness(nowNanos), is(closeTo(4, 0.1)));
  }

  @Test
  void eventsOfOnePassAreNotCountedAsPasses() {
    recordPasses(30, 160);
    recordPasses(30, 1);
    assertThat(meter.slowness(nowNanos), is(closeTo(4, 0.1)));
  }

  @Test
  void oldMeasurementsDoNotCount() {
    recordPasses(30, 160);
    nowNanos += TimeUnit.SECONDS.toNanos(4);
    assertThat(meter.slowness(nowNanos), is(1.0));
  }

  @Test
  void oneStallDoesNotMakeAnEngineSlow() {
    recordPasses(1, 3_000);
    assertThat(meter.slowness(nowNanos), is(closeTo(2.8, 0.1)));
    recordPasses(10, 40);
    assertThat(meter.slowness(nowNanos), is(closeTo(1.2, 0.1)));
  }
}
