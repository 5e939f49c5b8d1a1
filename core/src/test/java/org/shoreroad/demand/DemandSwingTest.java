package org.shoreroad.demand;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class DemandSwingTest {
  private static final long SECOND_NANOS = 1_000_000_000L;
  private static final double PERIOD_SECONDS = 15;

  private final DemandSwing swing = new DemandSwing();
  private long nowNanos = -7 * SECOND_NANOS;

  private void record(int arrived) {
    swing.record(arrived, nowNanos);
    nowNanos += SECOND_NANOS;
  }

  /** Returns the number of arrivals in a second, drawn at random around the mean. */
  private static int draw(Random random, double mean) {
    return (int) Math.max(0, Math.round(mean + random.nextGaussian() * Math.sqrt(mean)));
  }

  private boolean isUnevenAfter(Random random, double mean, double amplitude, int seconds) {
    for (int second = 0; second < seconds; second++) {
      double wave = Math.sin(2 * Math.PI * second / PERIOD_SECONDS);
      record(draw(random, mean * (1 + amplitude * wave)));
    }
    return swing.isUneven(nowNanos);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void largeWaveIsUnevenWithinAPeriod(long seed) {
    assertThat(isUnevenAfter(new Random(seed), 250, 0.55, 15), is(true));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void smallWaveAndRandomArrivalsAreEven(long seed) {
    assertThat(isUnevenAfter(new Random(seed), 250, 0.2, 300), is(false));
    assertThat(isUnevenAfter(new Random(seed), 80, 0.1, 300), is(false));
    assertThat(isUnevenAfter(new Random(seed), 5, 0, 300), is(false));
  }

  @Test
  void timeBeforeTheFirstRequestDoesNotCount() {
    for (int second = 0; second < 10; second++) {
      record(0);
    }
    for (int second = 0; second < 20; second++) {
      record(50);
    }
    assertThat(swing.isUneven(nowNanos), is(false));
  }

  @Test
  void unevenDemandIsRememberedForHalfAMinute() {
    for (int second = 0; second < 3; second++) {
      record(100);
    }
    for (int second = 0; second < 3; second++) {
      record(20);
    }
    assertThat(swing.isUneven(nowNanos), is(true));
    for (int second = 0; second < 50; second++) {
      record(20);
    }
    assertThat(swing.isUneven(nowNanos), is(false));
  }

  @Test
  void evenDemandWithVeryLargeCountsIsEven() {
    for (int second = 0; second < 16; second++) {
      record(1_000_000_000);
    }
    assertThat(swing.isUneven(nowNanos), is(false));
  }

  @Test
  void callsWithinASecondAreIgnored() {
    for (int i = 0; i < 100; i++) {
      swing.record(i % 2 == 0 ? 100 : 0, nowNanos);
    }
    assertThat(swing.isUneven(nowNanos), is(false));
  }
}
