package org.shoreroad.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

class ColdStartTest {
  @Test
  void theTimeIsInMilliseconds() {
    assertThat(new ColdStart(1.5, 17).coldMs(), is(1_500L));
    assertThat(new ColdStart(0, 17).coldMs(), is(0L));
  }

  @Test
  void valuesOutOfRangeAreRejected() {
    for (double seconds : new double[] {-1, Double.NaN, 601, Double.POSITIVE_INFINITY}) {
      assertThrows(IllegalArgumentException.class, () -> new ColdStart(seconds, 1));
    }
    for (double rate : new double[] {-1, 0, Double.NaN, 1e7, Double.POSITIVE_INFINITY}) {
      assertThrows(IllegalArgumentException.class, () -> new ColdStart(1, rate));
    }
  }
}
