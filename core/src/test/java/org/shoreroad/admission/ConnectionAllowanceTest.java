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
    allowance.update(29, OTHERS * 12, OTHERS, nowNanos);
    assertThat(acceptedInASecond(), is(200));
  }
}
