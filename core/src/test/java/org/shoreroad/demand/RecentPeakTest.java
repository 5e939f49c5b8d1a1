package org.shoreroad.demand;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class RecentPeakTest {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private final RecentPeak peak = new RecentPeak();

  @Test
  void highestValueLastsFor15Seconds() {
    assertThat(peak.value(), is(0.0));
    peak.add(9, 100 * SECOND_NANOS);
    peak.add(7, 100 * SECOND_NANOS + 1);
    for (int second = 101; second < 115; second++) {
      peak.add(2, second * SECOND_NANOS);
      assertThat(peak.value(), is(9.0));
    }
    assertThat(peak.isComplete(), is(false));
    peak.add(2, 115 * SECOND_NANOS);
    assertThat(peak.isComplete(), is(true));
    assertThat(peak.value(), is(2.0));
  }

  @Test
  void peaksAreIncompleteAfterAPauseOfSeconds() {
    peak.add(1, 100 * SECOND_NANOS);
    peak.add(1, 101 * SECOND_NANOS);
    for (int second = 114; second < 129; second++) {
      peak.add(1, second * SECOND_NANOS);
      assertThat(peak.isComplete(), is(false));
    }
    peak.add(1, 129 * SECOND_NANOS);
    assertThat(peak.isComplete(), is(true));
  }

  @Test
  void valuesBeforeALongPauseAreForgotten() {
    peak.add(9, 100 * SECOND_NANOS);
    peak.add(1, 10_000 * SECOND_NANOS);
    assertThat(peak.value(), is(1.0));
    assertThat(peak.isComplete(), is(false));
  }
}
