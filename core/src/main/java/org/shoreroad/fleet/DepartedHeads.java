package org.shoreroad.fleet;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
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
  private final UnansweredJoins unansweredJoins;
  private final Set<ReplicaId> formedHere = new HashSet<>();
  private final Set<ReplicaId> departed = new HashSet<>();

  /**
   * Creates an empty instance.
   *
   * @param unansweredJoins the orders to join that engines have not answered, not null
   */
  DepartedHeads(UnansweredJoins unansweredJoins) {
    this.unansweredJoins = unansweredJoins;
  }

  /** Records that an order is given now. */
  void recordGiven(BoxOrder order) {
    if (order.verb() == Verb.JOIN && order.replica() != null) {
      formedHere.add(order.replica());
    }
  }

  /** Records that an engine has accepted an order. */
  void recordAccepted(BoxOrder order) {
    ReplicaId replica = order.replica();
    if (replica == null || !order.boxId().equals(replica.headId())) {
      return;
    }
    if (order.verb() == Verb.LEAVE) {
      departed.add(replica);
    } else if (order.verb() == Verb.JOIN) {
      // The engine may have carried it out after the order to leave.
      departed.remove(replica);
    }
  }

  /**
   * Returns true if the head has left the replica and no order that was given can bring it back.
   */
  boolean contains(ReplicaId replica, long nowNanos) {
    return formedHere.contains(replica)
        && departed.contains(replica)
        && !unansweredJoins.mayBringHeadBack(replica, nowNanos);
  }

  /** Forgets all other replicas, which have no members any more. */
  void retain(Collection<ReplicaId> replicas) {
    formedHere.retainAll(replicas);
    departed.retainAll(replicas);
  }
}
