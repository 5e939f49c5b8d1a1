package org.shoreroad.demand;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;

class RateTrendTest {
  private static final long STEP_NANOS = 100_000_000L;
  private final RateTrend trend = new RateTrend();

  private void addFor(double seconds, DoubleUnaryOperator countAtSecond) {
    for (long nanos = 0; nanos <= seconds * 1e9; nanos += STEP_NANOS) {
      trend.add(countAtSecond.applyAsDouble(nanos / 1e9), nanos);
    }
  }

  @Test
  void riseIsRelativeToTheMeanOfThreeSeconds() {
    addFor(5, second -> 100 + 20 * second);
    // The last three seconds have a mean of 170.
    assertThat(trend.relativePerSecond(), is(closeTo(20 / 170.0, 1e-3)));
  }

  @Test
  void fallIsNegative() {
    addFor(3, second -> 160 - 20 * second);
    assertThat(trend.relativePerSecond(), is(closeTo(-20 / 130.0, 1e-3)));
  }

  @Test
  void shortHistoryHasNoTrend() {
    addFor(1.5, second -> 100 + 100 * second);
    assertThat(trend.relativePerSecond(), is(0.0));
  }

  @Test
  void noTrendIsSeenInFewRequests() {
    Random random = new Random(4);
    addFor(3, second -> 4 + random.nextInt(3));
    assertThat(trend.relativePerSecond(), is(0.0));
  }

  @Test
  void beginOfTrafficIsNoRise() {
    addFor(3.9, second -> second < 1 ? 0 : Math.min(100, 100 * (second - 1)));
    assertThat(trend.relativePerSecond(), is(0.0));
  }

  @Test
  void noRequestsHaveNoTrend() {
    addFor(3, second -> 0);
    assertThat(trend.relativePerSecond(), is(0.0));
  }
}
