package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class UnansweredJoinsTest {
  private static final long LATER_NANOS = TimeUnit.SECONDS.toNanos(20);
  private static final ReplicaId REPLICA = new ReplicaId("d-m-7|head|h:1", 7);
  private static final ReplicaId EARLIER = new ReplicaId("d-m-6|member|h:2", 6);

  private final UnansweredJoins joins = new UnansweredJoins();

  private static BoxOrder join(String boxId) {
    return BoxOrder.join(boxId, REPLICA, "m", List.of("head", "member"), "test");
  }

  @Test
  void unansweredJoinMayBringTheHeadBackAndTakeBoxesFromEarlierReplicas() {
    joins.recordGiven(join("head"), 0);
    assertThat(joins.mayBringHeadBack(REPLICA, 1), is(true));
    assertThat(joins.mayTakeAway("head", EARLIER, 1), is(true));
    assertThat(joins.mayTakeAway("head", REPLICA, 1), is(false));
    assertThat(joins.mayTakeAway("member", EARLIER, 1), is(false));
  }

  @Test
  void joinOfAMemberDoesNotBringTheHeadBack() {
    joins.recordGiven(join("member"), 0);
    assertThat(joins.mayBringHeadBack(REPLICA, 1), is(false));
  }

  @Test
  void eachOfTwoEqualOrdersNeedsItsOwnAnswer() {
    BoxOrder first = join("head");
    BoxOrder second = join("head");
    joins.recordGiven(first, 0);
    joins.recordGiven(second, 1);
    joins.recordAnswered(second);
    assertThat(joins.mayBringHeadBack(REPLICA, 2), is(true));
    joins.recordAnswered(first);
    assertThat(joins.mayBringHeadBack(REPLICA, 3), is(false));
  }

  @Test
  void orderIsForgottenAfterALongTimeAndWithItsBox() {
    joins.recordGiven(join("head"), 0);
    assertThat(joins.mayBringHeadBack(REPLICA, LATER_NANOS), is(false));
    joins.forget("head");
    assertThat(joins.mayBringHeadBack(REPLICA, 1), is(false));
  }
}
