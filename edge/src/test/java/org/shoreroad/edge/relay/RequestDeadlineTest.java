package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RequestDeadlineTest {
  private static final long MS = 1_000_000;

  private final RequestDeadline deadline = new RequestDeadline();

  @BeforeEach
  void set() {
    deadline.set(500 * MS, 1_000);
  }

  @Test
  void deadlineFollowsFromArrivalAndTimeout() {
    assertThat(deadline.isPassed(1_499 * MS), is(false));
    assertThat(deadline.isPassed(1_500 * MS), is(true));
    assertThat(deadline.remainingMs(1_300 * MS), is(200L));
  }

  @Test
  void upstreamGetsShortTimeAtLeast() {
    assertThat(deadline.remainingMs(1_499 * MS), is(20L));
    assertThat(deadline.remainingMs(9_000 * MS), is(20L));
  }

  @Test
  void pauseDoesNotCount() {
    deadline.pause(1_000 * MS);
    deadline.pause(1_200 * MS);
    assertThat(deadline.isPassed(9_000 * MS), is(false));
    deadline.resume(9_000 * MS);
    assertThat(deadline.isPassed(9_499 * MS), is(false));
    assertThat(deadline.isPassed(9_500 * MS), is(true));
  }

  @Test
  void resumptionWithoutPauseChangesNothing() {
    deadline.resume(1_200 * MS);
    assertThat(deadline.endNanos(), is(1_500 * MS));
  }
}
