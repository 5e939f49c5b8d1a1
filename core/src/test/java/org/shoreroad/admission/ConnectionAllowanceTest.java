package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class ConnectionAllowanceTest {
  private static final int OTHERS = 7;
  private static final int STEPS_PER_S = 10;

  private final ConnectionAllowance allowance = new ConnectionAllowance();
  private long nowNanos = 3;

  /** Returns how many of 200 connections within a second are accepted. */
  private int acceptedInASecond() {
    int accepted = 0;
    for (int i = 0; i < 200; i++) {
      accepted += allowance.take(nowNanos) ? 1 : 0;
      nowNanos += TimeUnit.MILLISECONDS.toNanos(5);
    }
    return accepted;
  }

  @Test
  void allConnectionsAreAcceptedWhileTheLoadIsEven() {
    allowance.update(90, OTHERS * 80, OTHERS, nowNanos);
    assertThat(acceptedInASecond(), is(200));
  }

  @Test
  void allConnectionsAreAcceptedWhileTheLoadIsUnevenButLow() {
    allowance.update(39, OTHERS, OTHERS, nowNanos);
    assertThat(acceptedInASecond(), is(200));
  }

  @Test
  void allConnectionsAreAcceptedIfNoOtherProcessIsKnown() {
    allowance.update(400, 0, 0, nowNanos);
    assertThat(acceptedInASecond(), is(200));
  }

  @Test
  void someConnectionsAreAcceptedWhileThisProcessReceivesFarMoreThanTheOthers() {
    allowance.update(90, OTHERS * 4, OTHERS, nowNanos);
    assertThat(acceptedInASecond(), is(allOf(greaterThanOrEqualTo(7), lessThanOrEqualTo(12))));
  }

  @Test
  void limitFollowsTheMeanOfTheOthers() {
    allowance.update(200, OTHERS * 80, OTHERS, nowNanos);
    assertThat(allowance.isLimited(), is(false));
    allowance.update(250, OTHERS * 80, OTHERS, nowNanos);
    assertThat(allowance.isLimited(), is(true));
  }

  @Test
  void limitEndsOnceTheLoadIsEvenAgain() {
    allowance.update(90, OTHERS * 4, OTHERS, nowNanos);
    allowance.update(35, OTHERS * 12, OTHERS, nowNanos);
    assertThat(allowance.isLimited(), is(true));
    assertThat(acceptedInASecond(), is(lessThanOrEqualTo(12)));
    nowNanos += TimeUnit.SECONDS.toNanos(4);
    allowance.update(29, OTHERS * 12, OTHERS, nowNanos);
    assertThat(acceptedInASecond(), is(200));
  }

  /** Else the limit ends, all are accepted, and it begins again, several times a minute. */
  @Test
  void limitStaysWhileMostConnectionsAreTurnedAway() {
    int ends = 0;
    int[] accepted = new int[STEPS_PER_S];
    int[] elsewhere = new int[STEPS_PER_S];
    for (int step = 0; step < 30 * STEPS_PER_S; step++) {
      boolean wasLimited = allowance.isLimited();
      allowance.update(sum(accepted), sum(elsewhere), 3, nowNanos);
      ends += wasLimited && !allowance.isLimited() ? 1 : 0;
      int taken = 0;
      for (int i = 0; i < 19; i++) {
        taken += allowance.take(nowNanos) ? 1 : 0;
        nowNanos += TimeUnit.SECONDS.toNanos(1) / STEPS_PER_S / 19;
      }
      accepted[step % STEPS_PER_S] = taken;
      elsewhere[step % STEPS_PER_S] = 20 - taken;
    }
    assertThat(ends, is(0));
  }

  private static int sum(int[] counts) {
    int sum = 0;
    for (int count : counts) {
      sum += count;
    }
    return sum;
  }
}
