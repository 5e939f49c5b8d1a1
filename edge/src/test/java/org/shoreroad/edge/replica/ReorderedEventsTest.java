package org.shoreroad.edge.replica;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against a box that joins a replica while the head of its former one serves. */
class ReorderedEventsTest {
  private static final int SEEDS = 400;
  private static final int SEEDS_WITH_CALM_END = 100;
  private static final int FAULT_SECONDS = 60;
  private static final int CALM_SECONDS = 30;

  @Test
  void noBoxJoinsWhileTheHeadOfItsFormerReplicaServes() {
    for (int seed = 1; seed <= SEEDS; seed++) {
      ReorderedEventsRun run = new ReorderedEventsRun(seed);
      run.playFaults(FAULT_SECONDS);
      assertThat("seed " + seed, run.violations(), is(empty()));
    }
  }

  @Test
  void aReplicaServesAfterTheFaults() {
    for (int seed = 1; seed <= SEEDS_WITH_CALM_END; seed++) {
      ReorderedEventsRun run = new ReorderedEventsRun(seed);
      run.playFaults(FAULT_SECONDS);
      run.playCalm(CALM_SECONDS);
      assertThat("seed " + seed, run.countOpen("large") + run.countOpen("small"), greaterThan(0L));
    }
  }
}
