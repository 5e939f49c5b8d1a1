package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.sync.StorePosition;

/** Tests that list records are sent once, and again if they are not acknowledged. */
class ListProgressTest {
  private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final ListProgress progress = new ListProgress();

  private static StorePosition at(long offset) {
    return StorePosition.of(1, offset);
  }

  @Test
  void recordsInFlightAreNotSentAgain() {
    assertThat(progress.next(at(4), 0), is(at(4)));
    progress.recordSent(at(9), 0);
    assertThat(progress.next(at(4), HEARTBEAT_NANOS), is(at(9)));
    progress.recordSent(at(12), HEARTBEAT_NANOS);
    assertThat(progress.next(at(9), 2 * HEARTBEAT_NANOS), is(at(12)));
  }

  @Test
  void unacknowledgedRecordsAreSentAgainAfterTheTimeout() {
    progress.recordSent(at(9), 0);
    progress.recordSent(at(12), HEARTBEAT_NANOS);
    assertThat(progress.next(at(4), 3 * HEARTBEAT_NANOS), is(at(12)));
    assertThat(progress.next(at(4), 3 * HEARTBEAT_NANOS + 1), is(at(4)));
  }

  @Test
  void recordsAcknowledgedFromOtherSendersAreSkipped() {
    progress.recordSent(at(9), 0);
    assertThat(progress.next(at(20), HEARTBEAT_NANOS), is(at(20)));
  }
}
