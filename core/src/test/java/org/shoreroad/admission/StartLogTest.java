package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class StartLogTest {
  private static final long SECOND = 1_000_000_000L;

  @Test
  void testLeft_boundsTheStartsOfAnySecond() {
    StartLog log = new StartLog();
    Random random = new Random(5);
    List<Long> starts = new ArrayList<>();
    for (long now = 0; now < 5 * SECOND; now += random.nextInt(50_000_000)) {
      if (log.left(7.9, now) > 0) {
        log.record(now);
        starts.add(now);
      }
    }
    for (long from : starts) {
      long count = starts.stream().filter(at -> at >= from && at < from + SECOND).count();
      assertThat(count, lessThanOrEqualTo(7L));
    }
    assertThat(starts.size(), is(35));
  }

  @Test
  void testLeft_ofALowRateIsOneInALongInterval() {
    StartLog log = new StartLog();
    assertThat(log.left(0.5, 0), is(1));
    log.record(0);
    assertThat(log.left(0.5, 2 * SECOND - 1), is(0));
    assertThat(log.left(0.5, 2 * SECOND), is(1));
  }

  @Test
  void testLeft_withoutABoundOrWithoutAStart() {
    StartLog log = new StartLog();
    assertThat(log.left(Double.POSITIVE_INFINITY, 0), is(Integer.MAX_VALUE));
    assertThat(log.left(0, 0), is(0));
  }
}
