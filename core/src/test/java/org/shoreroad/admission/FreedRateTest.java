package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class FreedRateTest {
  private static final long MS = 1_000_000;

  private final FreedRate rate = new FreedRate();

  private long free(int count, long fromNanos, int everyMs) {
    long now = fromNanos;
    for (int i = 0; i < count; i++) {
      now += everyMs * MS;
      rate.recordRefusal(now);
      rate.recordFreed(now);
    }
    return now;
  }

  @Test
  void withoutObservationsTheRateIsTheAssumedOne() {
    assertThat(rate.perSecond(0), is(FreedRate.ASSUMED_PER_SECOND));
    rate.recordRefusal(0);
    assertThat(rate.perSecond(0), closeTo(FreedRate.ASSUMED_PER_SECOND, 1e-6));
  }

  @Test
  void theRateIsMeasuredWithinASecond() {
    long now = free(200, 0, 5);
    assertThat(rate.perSecond(now), closeTo(200, 30));
  }

  @Test
  void aLowRateIsMeasuredToo() {
    long now = free(15, 0, 200);
    assertThat(rate.perSecond(now), closeTo(5, 2));
  }

  @Test
  void theRateFallsWithinSecondsWhenNothingBecomesFree() {
    long now = free(300, 0, 10);
    for (int i = 0; i < 40; i++) {
      now += 100 * MS;
      rate.recordRefusal(now);
    }
    assertThat(rate.perSecond(now), lessThan(15.0));
    assertThat(rate.perSecond(now), greaterThan(0.0));
  }

  @Test
  void whatBecameFreeUnderALowLoadIsALowerBound() {
    long now = 0;
    for (int i = 0; i < 300; i++) {
      now += 10 * MS;
      rate.recordFreed(now);
    }
    rate.recordRefusal(now);
    assertThat(rate.perSecond(now), closeTo(100, 20));
  }

  @Test
  void theObservationStartsOverAfterAPause() {
    long now = free(5, 0, 400);
    now += 60_000 * MS;
    rate.recordRefusal(now);
    assertThat(rate.perSecond(now), closeTo(FreedRate.ASSUMED_PER_SECOND, 1));
  }
}
