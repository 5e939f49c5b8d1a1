package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class RecentOrdersTest {
  private static final long REPEAT_NANOS = 500;

  private final RecentOrders book = new RecentOrders(REPEAT_NANOS);
  private final BoxOrder open =
      BoxOrder.of("b", BoxOrder.Verb.OPEN, new ReplicaId("r", 1), "because");

  @Test
  void anOrderIsDueAgainWhenItsEffectDidNotShow() {
    assertThat(book.isDue(open, 0), is(true));
    assertThat(book.isDue(open, REPEAT_NANOS - 1), is(false));
    assertThat(book.isDue(open, REPEAT_NANOS), is(true));
  }

  @Test
  void anOrderThatWasTakenWaitsLonger() {
    assertThat(book.isDue(open, 0), is(true));
    book.recordAccepted(open, 10);
    assertThat(book.isDue(open, 5 * REPEAT_NANOS), is(false));
    assertThat(book.isDue(open, 10 + 6 * REPEAT_NANOS), is(true));
  }

  @Test
  void ordersOnOtherReplicasAreNotHeldBack() {
    BoxOrder other = BoxOrder.of("b", BoxOrder.Verb.OPEN, new ReplicaId("r", 2), "because");
    assertThat(book.isDue(open, 0), is(true));
    assertThat(book.isDue(other, 0), is(true));
  }
}
