package org.shoreroad.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Incarnation;

class UpstreamRestsTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final Incarnation UPSTREAM = new Incarnation("i-1", 7);
  private static final RestTime THREE_SECONDS = new RestTime(3 * SECOND);

  private final UpstreamRests rests = new UpstreamRests();

  @Test
  void aRestLastsForTheRequestedTime() {
    rests.begin(UPSTREAM, THREE_SECONDS, SECOND);
    assertThat(rests.isResting(UPSTREAM, SECOND), is(true));
    assertThat(rests.isResting(UPSTREAM, 4 * SECOND - 1), is(true));
    assertThat(rests.isResting(UPSTREAM, 4 * SECOND), is(false));
  }

  @Test
  void aShorterRestDoesNotEndALongerOne() {
    rests.begin(UPSTREAM, THREE_SECONDS, SECOND);
    rests.begin(UPSTREAM, new RestTime(SECOND), 2 * SECOND);
    assertThat(rests.isResting(UPSTREAM, 4 * SECOND - 1), is(true));
  }

  @Test
  void aRestDoesNotApplyToAnotherIncarnation() {
    rests.begin(UPSTREAM, THREE_SECONDS, SECOND);
    assertThat(rests.isResting(new Incarnation("i-1", 8), SECOND), is(false));
  }

  @Test
  void expiredRestsAreRemoved() {
    rests.begin(UPSTREAM, THREE_SECONDS, 0);
    rests.begin(new Incarnation("i-2", 1), new RestTime(0), 9 * SECOND);
    rests.begin(new Incarnation("i-3", 1), new RestTime(0), 9 * SECOND);
    assertThat(rests.isResting(UPSTREAM, 9 * SECOND), is(false));
  }
}
