package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import org.junit.jupiter.api.Test;

class ReturnShareTest {
  private static final long MS = 1_000_000;

  private final ReturnShare share = new ReturnShare();

  @Test
  void withoutRefusalsTheShareIsTheMaximum() {
    assertThat(share.share(100, 0), is(ReturnShare.MAX_SHARE));
  }

  @Test
  void theShareFallsWithTheRefusedRequests() {
    long now = 0;
    for (int i = 0; i < 50; i++) {
      now += 100 * MS;
      share.recordRefusal(now);
    }
    // A twentieth of the new requests is refused.
    assertThat(share.share(190, now), closeTo(ReturnShare.MAX_SHARE / 2, 0.05));
    assertThat(share.share(50, now), is(ReturnShare.MIN_SHARE));
  }

  @Test
  void theShareRecoversOnceNobodyIsRefused() {
    for (int i = 0; i < 1_000; i++) {
      share.recordRefusal(0);
    }
    assertThat(share.share(100, 10_000 * MS), greaterThan(0.9 * ReturnShare.MAX_SHARE));
  }

  @Test
  void theShareFallsWhenReturnsAreRefusedAndRecoversWithReturns() {
    for (int i = 0; i < 100; i++) {
      share.recordRefusedAgain();
    }
    assertThat(share.share(100, 0), is(ReturnShare.MIN_SHARE));
    for (int i = 0; i < 20; i++) {
      share.recordReturned();
    }
    assertThat(share.share(100, 0), lessThan(ReturnShare.MAX_SHARE));
    for (int i = 0; i < 100; i++) {
      share.recordReturned();
    }
    assertThat(share.share(100, 0), is(ReturnShare.MAX_SHARE));
  }
}
