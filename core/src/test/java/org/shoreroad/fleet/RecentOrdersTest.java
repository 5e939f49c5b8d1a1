package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RecentOrdersTest {
  private static final long REPEAT_NANOS = 500;

  private final RecentOrders recentOrders = new RecentOrders(REPEAT_NANOS);
  private final BoxOrder open = BoxOrder.of("b", BoxOrder.Verb.OPEN, new ReplicaId("r", 1), "test");

  @Test
  void orderIsDueAgainAfterTheRepeatInterval() {
    assertThat(recentOrders.isDue(open, 0), is(true));
    assertThat(recentOrders.isDue(open, REPEAT_NANOS - 1), is(false));
    assertThat(recentOrders.isDue(open, REPEAT_NANOS), is(true));
  }

  @Test
  void acceptedOrderIsDueAgainAfterSixIntervals() {
    assertThat(recentOrders.isDue(open, 0), is(true));
    recentOrders.recordAccepted(open, 10);
    assertThat(recentOrders.isDue(open, 5 * REPEAT_NANOS), is(false));
    assertThat(recentOrders.isDue(open, 10 + 6 * REPEAT_NANOS), is(true));
  }

  @Test
  void orderForAnotherReplicaIsDue() {
    BoxOrder other = BoxOrder.of("b", BoxOrder.Verb.OPEN, new ReplicaId("r", 2), "test");
    assertThat(recentOrders.isDue(open, 0), is(true));
    assertThat(recentOrders.isDue(other, 0), is(true));
  }
}
