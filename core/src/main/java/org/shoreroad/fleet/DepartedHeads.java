package org.shoreroad.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.fleet.BoxOrder.Verb;

/**
 * The replicas that their heads have left: the engine of the head has accepted the order to leave
 * after all its orders to join, and none of these is without an answer. Not thread-safe: used by
 * one thread.
 *
 * <p>A report or an entry that shows the head outside the replica is no such proof, since it may be
 * older than the head's JOIN. Nothing is known of the JOINs that another reconciler gave, so only
 * replicas that this one formed are included.
 */
final class DepartedHeads {
  /**
   * Time within which an unanswered order may still be carried out. The platform documents seconds,
   * without a bound.
   */
  private static final long LATE_ORDER_NANOS = TimeUnit.SECONDS.toNanos(15);

  private final Set<ReplicaId> formedHere = new HashSet<>();
  private final Set<ReplicaId> departed = new HashSet<>();
  // By identity: equal orders are given again, and each has its own answer.
  private final Map<BoxOrder, Long> unansweredJoins = new IdentityHashMap<>();

  /** Records that an order is given now. */
  void recordGiven(BoxOrder order, long nowNanos) {
    unansweredJoins.values().removeIf(givenNanos -> nowNanos - givenNanos > LATE_ORDER_NANOS);
    if (order.verb() == Verb.JOIN && order.replica() != null) {
      formedHere.add(order.replica());
      unansweredJoins.put(order, nowNanos);
    }
  }

  /** Records that an order will not be carried out later, since the engine has answered it. */
  void recordAnswered(BoxOrder order) {
    unansweredJoins.remove(order);
  }

  /** Records that an engine has accepted an order. */
  void recordAccepted(BoxOrder order) {
    recordAnswered(order);
    if (order.verb() == Verb.LEAVE && isToHead(order)) {
      departed.add(order.replica());
    } else if (order.verb() == Verb.JOIN && isToHead(order)) {
      // The engine may have carried it out after the order to leave.
      departed.remove(order.replica());
    }
  }

  /**
   * Returns true if the head has left the replica and no order that was given can bring it back.
   */
  boolean contains(ReplicaId replica, long nowNanos) {
    return formedHere.contains(replica)
        && departed.contains(replica)
        && unansweredJoins.entrySet().stream()
            .filter(entry -> isToHead(entry.getKey()))
            .filter(entry -> replica.equals(entry.getKey().replica()))
            .allMatch(entry -> nowNanos - entry.getValue() > LATE_ORDER_NANOS);
  }

  /** Returns true if an unanswered order may still take a box from the replica to a later one. */
  boolean mayLeaveForLater(String boxId, ReplicaId replica, long nowNanos) {
    return unansweredJoins.entrySet().stream()
        .filter(entry -> entry.getKey().boxId().equals(boxId))
        .filter(entry -> entry.getKey().replica().epoch() > replica.epoch())
        .anyMatch(entry -> nowNanos - entry.getValue() <= LATE_ORDER_NANOS);
  }

  /** Forgets all other replicas, which have no members any more. */
  void retain(Collection<ReplicaId> replicas) {
    formedHere.retainAll(replicas);
    departed.retainAll(replicas);
  }

  /** Forgets the orders to a box that has ended or restarted. */
  void forget(String boxId) {
    unansweredJoins.keySet().removeIf(order -> order.boxId().equals(boxId));
  }

  private static boolean isToHead(BoxOrder order) {
    return order.replica() != null && order.boxId().equals(order.replica().headId());
  }
}
