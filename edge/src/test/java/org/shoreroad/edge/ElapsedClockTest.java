package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Both clocks in the hands of the test, together and apart. */
class ElapsedClockTest {
  private static final long MILLI_NANOS = 1_000_000;

  private long steadyMs = 5_000;
  private long timeOfDayMs = 1_773_212_146_318L;
  private final ElapsedClock clock =
      new ElapsedClock(() -> steadyMs * MILLI_NANOS, () -> timeOfDayMs);

  private void pass(long steady, long timeOfDay) {
    steadyMs += steady;
    timeOfDayMs += timeOfDay;
  }

  private long ageMs(long sinceMs) {
    return clock.ageNanos(sinceMs * MILLI_NANOS) / MILLI_NANOS;
  }

  @Test
  void withoutSuspensionAnAgeIsThatOfTheSteadyClock() {
    pass(700, 700);
    assertThat(ageMs(5_000), is(700L));
    assertThat(clock.addedNanos(), is(0L));
  }

  @Test
  void suspendedTimeCountsForWhatIsOlderThanTheWakeUp() {
    pass(100, 100);
    assertThat(ageMs(5_000), is(100L));
    pass(10, 4_010);
    assertThat(ageMs(5_000), is(4_110L));
    assertThat(ageMs(5_100), is(4_010L));
    pass(50, 50);
    assertThat(ageMs(5_150), is(10L));
    assertThat(clock.addedNanos(), is(4_000 * MILLI_NANOS));
  }

  @Test
  void severalSuspensionsAddUp() {
    pass(10, 1_010);
    ageMs(5_000);
    pass(10, 2_010);
    assertThat(ageMs(5_000), is(3_020L));
  }

  @Test
  void aTimeOfDayThatIsSetBackMakesNothingYounger() {
    pass(100, -1_900);
    assertThat(ageMs(5_000), is(100L));
    long before = clock.nowNanos();
    pass(1, -3_000);
    assertThat(clock.nowNanos() - before, is(MILLI_NANOS));
  }

  @Test
  void aTimeOfDayThatIsSetAheadMakesThingsOlder() {
    pass(100, 2_100);
    assertThat(ageMs(5_000), is(2_100L));
  }

  @Test
  void slowCorrectionsOfTheTimeOfDayDoNotAddUp() {
    for (int i = 0; i < 1_000; i++) {
      pass(100, 101);
      clock.nowNanos();
    }
    assertThat(clock.addedNanos(), is(0L));
    assertThat(ageMs(5_000), is(100_000L));
  }

  @Test
  void whatWasNoticedLongAgoIsForgottenButTheReadingsGoOn() {
    pass(0, 3_000);
    long before = clock.nowNanos();
    pass(61_000, 61_000);
    assertThat(clock.nowNanos() - before, is(61_000 * MILLI_NANOS));
    assertThat(ageMs(66_000), is(0L));
  }
}
