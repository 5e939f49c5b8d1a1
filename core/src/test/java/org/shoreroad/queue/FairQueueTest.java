package org.shoreroad.queue;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Tests of priorities without starvation, fairness by cost, bounds and displaced items. */
class FairQueueTest {
  private static final long FAR = Long.MAX_VALUE / 4;

  private static QueuedItem<Integer> item(
      int value, String account, int weight, int priority, long cost) {
    return new QueuedItem<>(value, account, weight, priority, cost, FAR);
  }

  @Property(tries = 300, seed = "7")
  void testOfferPoll_neitherLosesNorDuplicatesItems(@ForAll long seed) {
    Random random = new Random(seed);
    int capacity = random.nextInt(20);
    FairQueue<Integer> queue = new FairQueue<>(capacity);
    Set<Integer> inside = new HashSet<>();
    for (int i = 0; i < 300; i++) {
      if (random.nextInt(3) > 0) {
        FairQueue.OfferResult<Integer> offered =
            queue.offer(
                item(i, "a" + random.nextInt(4), 1 + random.nextInt(3), random.nextInt(10), 5));
        if (offered.isAccepted()) {
          assertThat(inside.add(i), is(true));
        }
        offered.displaced().ifPresent(v -> assertThat(inside.remove(v.value()), is(true)));
      } else {
        Optional<QueuedItem<Integer>> taken = queue.poll();
        assertThat(taken.isPresent(), is(!inside.isEmpty()));
        taken.ifPresent(v -> assertThat(inside.remove(v.value()), is(true)));
      }
      assertThat(queue.size(), is(inside.size()));
      assertThat(queue.size(), lessThanOrEqualTo(capacity));
    }
  }

  @Test
  void testPoll_takesUrgentItemsFirstWithoutStarvingOthers() {
    FairQueue<Integer> queue = new FairQueue<>(10_000);
    for (int i = 0; i < 1_000; i++) {
      queue.offer(item(i, "a", 1, 0, 1));
      queue.offer(item(i, "a", 1, 5, 1));
    }
    int laterItems = 0;
    for (int i = 0; i < 1_000; i++) {
      laterItems += queue.poll().orElseThrow().priority() == 5 ? 1 : 0;
    }
    assertThat(laterItems, is(1_000 / FairQueue.OTHERS_INTERVAL));
  }

  @Test
  void testPoll_sharesByWeightedCost() {
    FairQueue<Integer> queue = new FairQueue<>(100_000);
    for (int i = 0; i < 5_000; i++) {
      queue.offer(item(i, "long", 1, 3, 10));
      queue.offer(item(i, "short", 1, 3, 1));
      queue.offer(item(i, "heavy", 2, 3, 10));
    }
    Map<String, Long> cost = new HashMap<>();
    for (int i = 0; i < 3_000; i++) {
      QueuedItem<Integer> taken = queue.poll().orElseThrow();
      cost.merge(taken.account(), taken.cost(), Long::sum);
    }
    assertThat(cost.get("long") / (double) cost.get("short"), closeTo(1, 0.05));
    assertThat(cost.get("heavy") / (double) cost.get("long"), closeTo(2, 0.05));
  }

  @Test
  void testOffer_manyItemsOfOneAccountDelayOnlyThatAccount() {
    FairQueue<Integer> queue = new FairQueue<>(1_000);
    for (int i = 0; i < 999; i++) {
      queue.offer(item(i, "flood", 1, 3, 1));
    }
    queue.offer(item(-1, "quiet", 1, 3, 1));
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      order.add(queue.poll().orElseThrow().value());
    }
    assertThat(order.indexOf(-1), greaterThanOrEqualTo(0));
  }

  @Test
  void testOffer_urgentItemDisplacesALaterPriority() {
    FairQueue<Integer> queue = new FairQueue<>(10);
    for (int i = 0; i < 10; i++) {
      queue.offer(item(i, "a", 1, 5, 1));
    }
    FairQueue.OfferResult<Integer> offered = queue.offer(item(99, "b", 1, 0, 1));
    assertThat(offered.isAccepted(), is(true));
    assertThat(offered.displaced().orElseThrow().value(), is(9));
    assertThat(queue.poll().orElseThrow().value(), is(99));
  }

  @Test
  void testOffer_itemOfAnotherAccountDisplacesTheFullestAccount() {
    FairQueue<Integer> queue = new FairQueue<>(10);
    for (int i = 0; i < 10; i++) {
      queue.offer(item(i, "flood", 1, 5, 1));
    }
    assertThat(queue.offer(item(11, "flood", 1, 5, 1)).isAccepted(), is(false));
    assertThat(queue.offer(item(12, "quiet", 1, 5, 1)).isAccepted(), is(true));
  }

  @Test
  void testRemoveOverdue_removesOnlyOverdueItems() {
    FairQueue<Integer> queue = new FairQueue<>(10);
    queue.offer(new QueuedItem<>(1, "a", 1, 0, 1, 100));
    queue.offer(new QueuedItem<>(2, "a", 1, 0, 1, 200));
    assertThat(queue.removeOverdue(150).get(0).value(), is(1));
    assertThat(queue.poll().orElseThrow().value(), is(2));
  }

  @Test
  void testSettle_chargesTheRealCost() {
    FairQueue<Integer> queue = new FairQueue<>(100);
    for (int i = 0; i < 10; i++) {
      queue.offer(item(i, "underrated", 1, 3, 1));
      queue.offer(item(i, "honest", 1, 3, 1));
    }
    QueuedItem<Integer> first = queue.poll().orElseThrow();
    queue.settle(first, 6);
    int others = 0;
    for (int i = 0; i < 5; i++) {
      others += queue.poll().orElseThrow().account().equals(first.account()) ? 0 : 1;
    }
    assertThat(others, is(5));
  }

  @Test
  void testRetryAfter_isBasedOnTheDrainRateWithinBounds() {
    DrainRate rate = new DrainRate(0);
    long second = 1_000_000_000L;
    for (int i = 0; i < 500; i++) {
      rate.record(i * second / 10);
    }
    long now = 50 * second;
    assertThat(rate.perSecond(now), closeTo(10, 1));
    assertThat(rate.retryAfterMs(now, 99, 0), greaterThan(9_000L));
    assertThat(rate.retryAfterMs(now, 99, 0), lessThan(11_500L));
    assertThat(rate.retryAfterMs(now, 99, 0.99), greaterThan(rate.retryAfterMs(now, 99, 0)));
    assertThat(rate.retryAfterMs(now, 1_000_000, 0), is(DrainRate.MAX_RETRY_AFTER_MS));
    assertThat(rate.retryAfterMs(now, 0, 0), is(DrainRate.MIN_RETRY_AFTER_MS));
  }

  @Property(tries = 200, seed = "11")
  void testInOrderTake_listsEachItemOnceWithoutAChange(@ForAll long seed) {
    Random random = new Random(seed);
    FairQueue<Integer> queue = new FairQueue<>(100);
    for (int i = 0; i < 40; i++) {
      queue.offer(item(i, "a" + random.nextInt(4), 1 + random.nextInt(2), random.nextInt(3), 5));
    }
    List<QueuedItem<Integer>> order = queue.inOrder(a -> a.hashCode() % 7, i -> i.value() % 5 == 0);
    assertThat(new HashSet<>(order).size(), is(40));
    assertThat(queue.size(), is(40));
    // Items that are taken in this order leave the order of the others as it was.
    for (int i = 0; i < 40; i++) {
      QueuedItem<Integer> first = queue.inOrder(a -> 0, item -> false).get(0);
      assertThat(queue.take(first), is(true));
      assertThat(queue.take(first), is(false));
    }
    assertThat(queue.size(), is(0));
    assertThat(queue.poll().isPresent(), is(false));
  }

  @Test
  void testInOrder_takesEachTenthFromTheOtherPriorities() {
    FairQueue<Integer> queue = new FairQueue<>(1_000);
    for (int i = 0; i < 200; i++) {
      queue.offer(item(i, "a", 1, i % 2 == 0 ? 0 : 5, 1));
    }
    int less = 0;
    for (int i = 0; i < 100; i++) {
      QueuedItem<Integer> first = queue.inOrder(a -> 0, item -> false).get(0);
      less += first.priority() == 5 ? 1 : 0;
      queue.take(first);
    }
    assertThat(less, is(100 / FairQueue.OTHERS_INTERVAL));
  }

  @Test
  void testInOrder_isByCostInUsePerWeightAndThenByTheItemsAhead() {
    FairQueue<Integer> queue = new FairQueue<>(100);
    queue.offer(item(1, "large", 1, 0, 10));
    queue.offer(item(2, "small", 1, 0, 30));
    queue.offer(item(3, "small", 1, 0, 30));
    queue.offer(item(4, "weighty", 4, 0, 10));
    Map<String, Double> inUse = Map.of("large", 40.0, "small", 20.0, "weighty", 120.0);
    List<Integer> order = new ArrayList<>();
    queue.inOrder(inUse::get, item -> false).forEach(item -> order.add(item.value()));
    assertThat(order, is(List.of(2, 4, 1, 3)));
    order.clear();
    queue.inOrder(inUse::get, item -> item.value() == 3).forEach(item -> order.add(item.value()));
    assertThat(order, is(List.of(3, 2, 4, 1)));
  }

  @Test
  void testTake_countsTheCostForLaterPolls() {
    FairQueue<Integer> queue = new FairQueue<>(100);
    QueuedItem<Integer> taken = item(1, "a", 1, 0, 100);
    queue.offer(taken);
    queue.offer(item(2, "a", 1, 0, 1));
    queue.offer(item(3, "b", 1, 0, 1));
    queue.take(taken);
    assertThat(queue.poll().orElseThrow().value(), is(3));
    assertThat(queue.poll().orElseThrow().value(), is(2));
  }
}
