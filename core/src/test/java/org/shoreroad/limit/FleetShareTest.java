package org.shoreroad.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class FleetShareTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final Set<String> NAMES = Set.of("a", "b", "c");

  @Test
  void asManyProcessesHoldAShareAsStated() {
    for (int holders = 1; holders <= NAMES.size(); holders++) {
      int count = 0;
      for (String name : NAMES) {
        FleetShare share = FleetShare.strict();
        share.assign(name, "i-1", NAMES, holders, SECOND, 0);
        count += share.isHolder() ? 1 : 0;
      }
      assertThat(count, is(holders));
    }
  }

  @Test
  void nobodyHoldsAShareAmongNoProcesses() {
    FleetShare share = FleetShare.strict();
    assertThat(share.hasTurn(0), is(false));
    share.assign("a", "i-1", Set.of(), 1, SECOND, 0);
    assertThat(share.hasTurn(9 * SECOND), is(false));
  }

  @Test
  void aStrictShareHasNoEarlyTurn() {
    FleetShare strict = FleetShare.strict();
    FleetShare early = FleetShare.withEarlyTurns();
    strict.assign("a", "i-1", Set.of("a"), 1, SECOND, 0);
    early.assign("a", "i-1", Set.of("a"), 1, SECOND, 0);
    assertThat(early.hasTurn(SECOND / 2), is(true));
    assertThat(strict.hasTurn(SECOND - 1), is(false));
    assertThat(strict.hasTurn(SECOND), is(true));
    strict.takeTurn(SECOND);
    assertThat(strict.hasTurn(2 * SECOND - 1), is(false));
  }

  @Test
  void aTurnCanBeDelayed() {
    FleetShare share = FleetShare.strict();
    share.delayUntil(SECOND);
    share.assign("a", "i-1", Set.of("a"), 1, SECOND, 0);
    share.delayUntil(3 * SECOND);
    assertThat(share.hasTurn(3 * SECOND - 1), is(false));
    assertThat(share.hasTurn(3 * SECOND), is(true));
  }
}
