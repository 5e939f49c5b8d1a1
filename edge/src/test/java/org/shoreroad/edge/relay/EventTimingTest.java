package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.traffic.RequestKind;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.ServiceShare;

class EventTimingTest {
  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/",
          RequestKind.STREAM,
          8_000,
          500,
          300,
          1,
          List.of(new ServiceShare("s", 1)),
          2,
          false,
          true);

  private final EventTiming timing = new EventTiming(ms(1_000));

  private static long ms(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  @Test
  void anAnswerWithoutEventsIsNotLate() {
    assertThat(timing.lateReason(ROUTE), is(nullValue()));
  }

  @Test
  void anAnswerThatJustMeetsBothTargetsIsNotLate() {
    timing.recordEvent(ms(1_500));
    timing.recordEvent(ms(1_800));
    assertThat(timing.firstMs(), is(500L));
    assertThat(timing.longestPauseMs(), is(300L));
    assertThat(timing.lateReason(ROUTE), is(nullValue()));
  }

  @Test
  void aLateFirstEventTakesPrecedenceOverAPause() {
    timing.recordEvent(ms(1_501));
    timing.recordEvent(ms(2_000));
    assertThat(timing.lateReason(ROUTE), is("first_event"));
  }

  @Test
  void theLongestPauseMakesAnAnswerLate() {
    timing.recordEvent(ms(1_100));
    timing.recordEvent(ms(1_401));
    timing.recordEvent(ms(1_410));
    assertThat(timing.longestPauseMs(), is(301L));
    assertThat(timing.lateReason(ROUTE), is("pause"));
  }

  @Test
  void silenceIsMeasuredFromTheRequestAndThenFromTheLastEvent() {
    assertThat(timing.silentMs(ms(1_250)), is(250L));
    timing.recordEvent(ms(1_500));
    assertThat(timing.silentMs(ms(1_600)), is(100L));
  }
}
