package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class StallDetectorTest extends UpstreamFixture {
  @Test
  void aPeersSuspicionCountsUntilTheHeadBelongsToAnotherReplica() {
    list("a", "OPEN");
    assertThat(choose(Set.of()), is("a"));
    stalls.suspectByPeer(Set.of("a"));
    assertThat(choose(Set.of()) == null, is(true));
    assertThat(stalls.suspectedIds(), is(Set.of("a")));
    nowNanos += TimeUnit.SECONDS.toNanos(5);
    assertThat(choose(Set.of()), is("a"));
  }

  @Test
  void withoutOpenRequestsThereIsNoNextLookForSilentHeads() {
    assertThat(stalls.findStalled(), is(Long.MAX_VALUE));
  }
}
