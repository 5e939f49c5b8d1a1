package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class UpstreamLoadTest {
  private static final long START_NANOS = TimeUnit.HOURS.toNanos(1);

  private final UpstreamLoad load = new UpstreamLoad();

  private static long after(int seconds) {
    return START_NANOS + TimeUnit.SECONDS.toNanos(seconds);
  }

  @Test
  void aHeadCanBeSuspectedAgainAfterASuspicionExpired() {
    load.suspect(true, START_NANOS);
    assertThat(load.isSuspectedAt(after(3)), is(true));
    assertThat(load.isSuspectedAt(after(5)), is(false));
    load.suspect(true, after(5));
    assertThat(load.isSuspectedAt(after(8)), is(true));
    assertThat(load.hasOwnSuspicionAt(after(8)), is(true));
  }

  @Test
  void aCurrentSuspicionIsNotExtended() {
    load.suspect(false, START_NANOS);
    load.suspect(true, after(3));
    assertThat(load.hasOwnSuspicionAt(after(3)), is(true));
    assertThat(load.isSuspectedAt(after(5)), is(false));
  }

  @Test
  void progressEndsASuspicion() {
    load.suspect(true, START_NANOS);
    load.recordProgress(after(1));
    assertThat(load.isSuspectedAt(after(1)), is(false));
    assertThat(load.hasOwnSuspicionAt(after(1)), is(false));
  }
}
