package org.shoreroad.fleet;

import java.util.IdentityHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.shoreroad.fleet.BoxOrder.Verb;

/**
 * The orders to join that engines have not answered. An engine may carry out such an order seconds
 * after it was given, and after newer ones. Not thread-safe: used by one thread.
 */
final class UnansweredJoins {
  /**
   * Time within which an unanswered order may still be carried out. The platform documents seconds,
   * without a bound.
   */
  private static final long LATE_ORDER_NANOS = TimeUnit.SECONDS.toNanos(15);

  // By identity: equal orders are given again, and each has its own answer.
  private final Map<BoxOrder, Long> givenNanos = new IdentityHashMap<>();

  /** Records that an order is given now. */
  void recordGiven(BoxOrder order, long nowNanos) {
    givenNanos.values().removeIf(given -> nowNanos - given > LATE_ORDER_NANOS);
    if (order.verb() == Verb.JOIN && order.replica() != null) {
      givenNanos.put(order, nowNanos);
    }
  }

  /** Records that an order will not be carried out later, since the engine has answered it. */
  void recordAnswered(BoxOrder order) {
    givenNanos.remove(order);
  }

  /** Returns true if an order may still make the head of the replica join it. */
  boolean mayBringHeadBack(ReplicaId replica, long nowNanos) {
    return mayCarryOut(
        order -> replica.equals(order.replica()) && order.boxId().equals(replica.headId()),
        nowNanos);
  }

  /** Returns true if an order may still make the box join a later replica than this one. */
  boolean mayTakeAway(String boxId, ReplicaId replica, long nowNanos) {
    return mayCarryOut(
        order -> order.boxId().equals(boxId) && order.replica().epoch() > replica.epoch(),
        nowNanos);
  }

  private boolean mayCarryOut(Predicate<BoxOrder> isMeant, long nowNanos) {
    return givenNanos.entrySet().stream()
        .filter(entry -> nowNanos - entry.getValue() <= LATE_ORDER_NANOS)
        .anyMatch(entry -> isMeant.test(entry.getKey()));
  }

  /** Forgets the orders to a box that has ended or restarted. */
  void forget(String boxId) {
    givenNanos.keySet().removeIf(order -> order.boxId().equals(boxId));
  }
}
