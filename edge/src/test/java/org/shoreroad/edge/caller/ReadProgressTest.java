package org.shoreroad.edge.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class ReadProgressTest {
  private static final long MS = 1_000_000;
  private static final int CHECK_MS = 250;

  private final ReadProgress progress = new ReadProgress();
  private long now;

  private long check(long pendingBytes, long sentParts, long sentOfNextPart) {
    now += CHECK_MS * MS;
    progress.update(pendingBytes, sentParts, sentOfNextPart, now);
    return progress.unreadNanos() / MS;
  }

  @Test
  void timeCountsWhileNothingIsRead() {
    assertThat(check(100, 1, 0), is(0L));
    assertThat(check(100, 1, 0), is(250L));
    assertThat(check(300, 1, 0), is(500L));
  }

  @Test
  void timeDoesNotCountWhileNothingIsPending() {
    check(0, 1, 0);
    assertThat(check(0, 1, 0), is(0L));
    assertThat(check(100, 1, 0), is(0L));
  }

  @Test
  void aPartThatIsSentEndsTheWait() {
    check(100, 1, 0);
    check(100, 1, 0);
    assertThat(check(100, 2, 0), is(0L));
    assertThat(check(100, 2, 0), is(250L));
  }

  @Test
  void aSlowCallerThatReadsPartOfALargePartIsNotCounted() {
    for (int i = 0; i < 100; i++) {
      assertThat(check(1_000_000, 1, i), is(0L));
    }
  }

  @Test
  void aSuspensionOfThisProcessDoesNotCount() {
    check(100, 1, 0);
    now += 60_000 * MS;
    assertThat(check(100, 1, 0), lessThan(501L));
  }

  @Test
  void aClockThatGoesBackDoesNotCount() {
    check(100, 1, 0);
    now -= 2 * CHECK_MS * MS;
    assertThat(check(100, 1, 0), is(0L));
  }
}
