package org.shoreroad.demand;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;

class FormingReplicasTest {
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);
  private final FormingReplicas forming = new FormingReplicas();

  private static FleetBox head(MemberState state) {
    FleetBox box = new FleetBox("b", "llm", "h:1", "z", 4, false, "d", null, List.of(), null);
    Membership membership = new Membership(ReplicaId.of("d", "m", 1, box), 0, state);
    return box.withEngineState(null, List.of(), membership);
  }

  @Test
  void replicaCountsFromItsFirstJoinUntilItOpens() {
    assertThat(forming.count("m", 0), is(0));
    forming.update(List.of(head(MemberState.JOINING)), SECOND_NANOS);
    assertThat(forming.count("m", 2 * SECOND_NANOS), is(1));
    assertThat(forming.count("n", 2 * SECOND_NANOS), is(0));
    forming.update(List.of(head(MemberState.READY)), 3 * SECOND_NANOS);
    assertThat(forming.count("m", 3 * SECOND_NANOS), is(1));
    forming.update(List.of(head(MemberState.OPEN)), 4 * SECOND_NANOS);
    assertThat(forming.count("m", 4 * SECOND_NANOS), is(0));
  }

  @Test
  void replicaThatIsNotOpenInTimeNoLongerCounts() {
    forming.update(List.of(head(MemberState.JOINING)), SECOND_NANOS);
    forming.update(List.of(head(MemberState.JOINING)), 7 * SECOND_NANOS);
    assertThat(forming.count("m", 7 * SECOND_NANOS), is(0));
  }

  @Test
  void closedReplicaDoesNotCount() {
    forming.update(List.of(head(MemberState.OPEN)), SECOND_NANOS);
    forming.update(List.of(head(MemberState.READY)), 9 * SECOND_NANOS);
    assertThat(forming.count("m", 9 * SECOND_NANOS), is(0));
  }
}
