package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.BoxOrder.Verb;

class DepartedHeadsTest {
  private static final ReplicaId REPLICA = new ReplicaId("d-m-7|head|h:1", 7);

  private final UnansweredJoins joins = new UnansweredJoins();
  private final DepartedHeads heads = new DepartedHeads(joins);
  private final BoxOrder join = join("head");

  private static BoxOrder join(String boxId) {
    return BoxOrder.join(boxId, REPLICA, "m", List.of("head", "member"), "test");
  }

  private void give(BoxOrder order) {
    joins.recordGiven(order, 0);
    heads.recordGiven(order);
  }

  private void accept(BoxOrder order) {
    joins.recordAnswered(order);
    heads.recordAccepted(order);
  }

  private void acceptLeaveOf(String boxId) {
    accept(BoxOrder.of(boxId, Verb.LEAVE, REPLICA, "test"));
  }

  @Test
  void headHasDepartedOnceItHasAcceptedToLeave() {
    give(join);
    accept(join);
    assertThat(heads.contains(REPLICA, 1), is(false));
    acceptLeaveOf("head");
    assertThat(heads.contains(REPLICA, 1), is(true));
    heads.retain(Set.of());
    assertThat(heads.contains(REPLICA, 1), is(false));
  }

  @Test
  void departureOfAMemberIsNotThatOfTheHead() {
    give(join);
    accept(join);
    acceptLeaveOf("member");
    assertThat(heads.contains(REPLICA, 1), is(false));
  }

  @Test
  void headHasNotDepartedWhileAJoinIsUnanswered() {
    give(join);
    give(join("head"));
    accept(join);
    acceptLeaveOf("head");
    assertThat(heads.contains(REPLICA, 1), is(false));
  }

  @Test
  void headHasNotDepartedIfAJoinIsAcceptedLast() {
    give(join);
    acceptLeaveOf("head");
    accept(join);
    assertThat(heads.contains(REPLICA, 1), is(false));
  }

  @Test
  void replicaThatAnotherReconcilerFormedIsNotIncluded() {
    acceptLeaveOf("head");
    assertThat(heads.contains(REPLICA, 1), is(false));
  }
}
