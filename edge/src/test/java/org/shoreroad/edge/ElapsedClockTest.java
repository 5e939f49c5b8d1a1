package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Tests with a manual steady clock and a manual time of day. */
class ElapsedClockTest {
  private static final long MILLI_NANOS = 1_000_000;

  private long steadyMs = 5_000;
  private long timeOfDayMs = 1_773_212_146_318L;
  private final ElapsedClock clock =
      new ElapsedClock(() -> steadyMs * MILLI_NANOS, () -> timeOfDayMs);

  private void advance(long steady, long timeOfDay) {
    steadyMs += steady;
    timeOfDayMs += timeOfDay;
  }

  private long ageMs(long sinceMs) {
    return clock.ageNanos(sinceMs * MILLI_NANOS) / MILLI_NANOS;
  }

  @Test
  void withoutSuspensionTheAgeFollowsTheSteadyClock() {
    advance(700, 700);
    assertThat(ageMs(5_000), is(700L));
    assertThat(clock.totalLeadNanos(), is(0L));
  }

  @Test
  void suspensionIsAddedToTheAgeOfEarlierReadings() {
    advance(100, 100);
    assertThat(ageMs(5_000), is(100L));
    advance(10, 4_010);
    assertThat(ageMs(5_000), is(4_110L));
    assertThat(ageMs(5_100), is(4_010L));
    advance(50, 50);
    assertThat(ageMs(5_150), is(10L));
    assertThat(clock.totalLeadNanos(), is(4_000 * MILLI_NANOS));
  }

  @Test
  void severalSuspensionsAddUp() {
    advance(10, 1_010);
    ageMs(5_000);
    advance(10, 2_010);
    assertThat(ageMs(5_000), is(3_020L));
  }

  @Test
  void settingTheTimeOfDayBackChangesNoAge() {
    advance(100, -1_900);
    assertThat(ageMs(5_000), is(100L));
    long before = clock.nowNanos();
    advance(1, -3_000);
    assertThat(clock.nowNanos() - before, is(MILLI_NANOS));
  }

  @Test
  void settingTheTimeOfDayForwardIncreasesAges() {
    advance(100, 2_100);
    assertThat(ageMs(5_000), is(2_100L));
  }

  @Test
  void gradualCorrectionsOfTheTimeOfDayAreIgnored() {
    for (int i = 0; i < 1_000; i++) {
      advance(100, 101);
      clock.nowNanos();
    }
    assertThat(clock.totalLeadNanos(), is(0L));
    assertThat(ageMs(5_000), is(100_000L));
  }

  @Test
  void oldSuspensionsAreDroppedButReadingsDoNotDecrease() {
    advance(0, 3_000);
    long before = clock.nowNanos();
    advance(61_000, 61_000);
    assertThat(clock.nowNanos() - before, is(61_000 * MILLI_NANOS));
    assertThat(ageMs(66_000), is(0L));
  }
}
