package org.shoreroad.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;

import org.junit.jupiter.api.Test;

class DrainRateTest {
  private static final long MS = 1_000_000L;

  @Test
  void testPerSecond_followsTheTimeConstant() {
    DrainRate fast = new DrainRate(0, 0.5);
    DrainRate usual = new DrainRate(0);
    long now = 0;
    for (; now < 40_000 * MS; now += 20 * MS) {
      fast.record(now);
      usual.record(now);
    }
    assertThat(fast.perSecond(now), closeTo(50, 2));
    assertThat(usual.perSecond(now), closeTo(50, 2));
    now += 1_000 * MS;
    assertThat(fast.perSecond(now), closeTo(50 * Math.exp(-2), 1));
    assertThat(usual.perSecond(now), closeTo(50 * Math.exp(-0.2), 2));
  }
}
