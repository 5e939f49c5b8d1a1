package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** How far a peer was told the list. */
class ListProgressTest {
  private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final ListProgress progress = new ListProgress();

  @Test
  void whatWasToldAMomentAgoIsNotToldAgain() {
    assertThat(progress.nextOffset(4, 0), is(4L));
    progress.noteTold(9, 0);
    assertThat(progress.nextOffset(4, HEARTBEAT_NANOS), is(9L));
    progress.noteTold(12, HEARTBEAT_NANOS);
    assertThat(progress.nextOffset(9, 2 * HEARTBEAT_NANOS), is(12L));
  }

  @Test
  void whatThePeerDoesNotSayToHaveIsToldAgain() {
    progress.noteTold(9, 0);
    progress.noteTold(12, HEARTBEAT_NANOS);
    assertThat(progress.nextOffset(4, 3 * HEARTBEAT_NANOS), is(12L));
    assertThat(progress.nextOffset(4, 3 * HEARTBEAT_NANOS + 1), is(4L));
  }

  @Test
  void aPeerThatOthersToldMoreGoesOnFromThere() {
    progress.noteTold(9, 0);
    assertThat(progress.nextOffset(20, HEARTBEAT_NANOS), is(20L));
  }
}
