package org.shoreroad.replica;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shoreroad.Box;
import org.shoreroad.state.Generation;

/** Guards against a delayed load order that replaces the load on which requests run. */
class LateLoadTest {
  private static final long MS = 1_000_000L;
  private static final Box BOX = new Box("b0", "h:1", "d", "z");

  @Test
  void aDelayedLoadDoesNotReplaceTheReadyOne() {
    Box box = BOX;
    Generation generation = Generation.of(7, "m", List.of(box));
    int[] number = {0};
    ReplicaController c =
        new ReplicaController(
            generation,
            ReplicaTiming.ofMs(1_000, 2_000, 60_000, 500, 3_000, 500),
            () -> "n-" + ++number[0],
            0);
    c.recordReport(box.name(), new BoxReport("b", List.of(), 0), 0);
    c.decide(1 * MS, true, 0);
    c.recordReport(box.name(), new BoxReport("b", List.of(), 0), 600 * MS);
    c.decide(601 * MS, true, 0);
    // The second order is carried out first; the replica is ready and requests run on it.
    BoxReport.Load second = new BoxReport.Load("m~7~n-2", true, 3);
    c.recordReport(box.name(), new BoxReport("b", List.of(second), 3), 700 * MS);
    assertThat(c.findFreshSnapshot(701 * MS).isPresent(), is(true));
    // Now the first one is carried out.
    BoxReport.Load first = new BoxReport.Load("m~7~n-1", false, 0);
    c.recordReport(box.name(), new BoxReport("b", List.of(first, second), 3), 1_300 * MS);
    List<ReplicaAction> actions = c.decide(1_301 * MS, true, 3);
    assertThat(actions, not(hasItem(new ReplicaAction.OrderUnload(box, "m~7~n-2"))));
    assertThat(c.findFreshSnapshot(1_302 * MS).isPresent(), is(true));
  }
}
