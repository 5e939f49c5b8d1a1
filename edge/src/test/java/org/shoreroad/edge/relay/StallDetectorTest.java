package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.ReplicaId;

class StallDetectorTest extends UpstreamFixture {
  @Test
  void aHeadSuspectedByAPeerIsNotChosenUntilTheSuspicionExpires() {
    list("a", "OPEN");
    assertThat(choose(Set.of()), is("a"));
    stalls.suspectByPeer(Set.of("a"));
    assertThat(choose(Set.of()) == null, is(true));
    assertThat(stalls.suspectedIds(), is(Set.of("a")));
    nowNanos += TimeUnit.SECONDS.toNanos(5);
    assertThat(choose(Set.of()), is("a"));
  }

  @Test
  void withoutOpenRequestsNoFurtherCheckIsScheduled() {
    assertThat(stalls.findStalled(), is(Long.MAX_VALUE));
  }

  @Test
  void aReportOnTheFormerReplicaDoesNotApplyToANewlyFormedOne() {
    UpstreamLoad load = table.loadOf("a");
    load.updateReplica(new ReplicaId("r", 1), nowNanos);
    load.updateReplica(new ReplicaId("r", 2), nowNanos);
    assertThat(stalls.suspectByPeer(Set.of("a")), is(false));
    nowNanos += TimeUnit.MILLISECONDS.toNanos(1_001);
    assertThat(stalls.suspectByPeer(Set.of("a")), is(true));
  }

  @Test
  void aSuspicionOfAPeerIsNotReportedAsOwn() {
    list("a", "OPEN");
    assertThat(stalls.suspectByPeer(Set.of("a")), is(true));
    assertThat(stalls.suspectedIds(), is(Set.of("a")));
    assertThat(stalls.ownSuspectedIds(), is(Set.of()));
  }

  /**
   * Two processes must not keep up a suspicion by repeating each other's reports in heartbeats. The
   * head has recovered and sends them events alternately.
   */
  @Test
  void aSuspicionOfARecoveredHeadDoesNotCirculate() {
    list("a", "OPEN");
    UpstreamTable tableOfOne = otherTable();
    UpstreamTable tableOfTwo = otherTable();
    StallDetector one = new StallDetector(tableOfOne, () -> nowNanos, log);
    StallDetector two = new StallDetector(tableOfTwo, () -> nowNanos, log);
    tableOfOne.loadOf("a").suspect(true, nowNanos);
    for (int round = 0; round < 50; round++) {
      nowNanos += TimeUnit.MILLISECONDS.toNanos(200);
      two.suspectByPeer(one.ownSuspectedIds());
      one.suspectByPeer(two.ownSuspectedIds());
      (round % 2 == 0 ? tableOfOne : tableOfTwo).loadOf("a").recordProgress(nowNanos);
    }
    assertThat(one.suspectedIds(), is(Set.of()));
    assertThat(two.suspectedIds(), is(Set.of()));
  }

  private UpstreamTable otherTable() {
    return new UpstreamTable(fleet, () -> nowNanos, log);
  }
}
