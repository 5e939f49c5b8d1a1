package org.shoreroad.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.BoxOrder.Verb;

/**
 * The replicas of a domain that are being closed so that their boxes can serve in others. Not
 * thread-safe: used by one thread.
 */
final class ClosingReplicas {
  /** Reason for closing a replica that has all its members. */
  private static final String BOXES_WANTED = "a wanted replica lacks boxes";

  private static final String MEMBER_LOST = "a member is lost";

  private final ReconcilerTiming timing;
  private final Map<ReplicaId, Closing> closings = new HashMap<>();

  /**
   * Creates a tracker without closing replicas.
   *
   * @param timing the drain limits, not null
   */
  ClosingReplicas(ReconcilerTiming timing) {
    this.timing = timing;
  }

  /**
   * Records that a replica is to be closed, unless that is already recorded.
   *
   * @param isUrgent true if the short drain limit applies
   */
  void begin(ReplicaId replica, boolean isUrgent, long nowNanos) {
    closings.putIfAbsent(replica, new Closing(nowNanos, isUrgent));
  }

  boolean contains(ReplicaId replica) {
    return closings.containsKey(replica);
  }

  boolean isEmpty() {
    return closings.isEmpty();
  }

  /** Removes all other replicas, which no longer exist. */
  void retain(Set<ReplicaId> replicas) {
    closings.keySet().retainAll(replicas);
  }

  /** Returns the ids of the boxes that are heads of closing replicas. */
  Set<String> headIds(Iterable<ObservedBox> observedBoxes) {
    Set<String> ids = new HashSet<>();
    for (ObservedBox observed : observedBoxes) {
      Membership membership = observed.box().membership();
      if (membership != null && membership.isHead() && contains(membership.replica())) {
        ids.add(observed.box().id());
      }
    }
    return ids;
  }

  /**
   * Returns the order that closes a replica, or null if its head only has to finish its running
   * requests. Records the replica as closing if it is not.
   *
   * @param isWhole false if a member seems to be lost; if the replica is stalled too, its requests
   *     can't finish
   */
  @Nullable BoxOrder order(
      ObservedReplica replica,
      ObservedBox head,
      MemberState state,
      boolean isWhole,
      long nowNanos) {
    begin(replica.replica(), !isWhole, nowNanos);
    Closing closing = closings.get(replica.replica());
    String headId = head.box().id();
    // If requests still progress, the replica has all its members, although one does not answer
    // this process.
    if (!isWhole && head.isStalled()) {
      return BoxOrder.of(headId, Verb.CLOSE_NOW, replica.replica(), MEMBER_LOST);
    }
    if (nowNanos - closing.sinceNanos() > closing.limitNanos(timing)) {
      return BoxOrder.of(
          headId, Verb.CLOSE_NOW, replica.replica(), "running requests take too long");
    }
    String reason = reason(replica, isWhole);
    return state == MemberState.OPEN
        ? BoxOrder.of(headId, Verb.CLOSE_AFTER_WORK, replica.replica(), reason)
        : null;
  }

  private static String reason(ObservedReplica replica, boolean isWhole) {
    if (!isWhole) {
      return MEMBER_LOST;
    }
    return replica.hasLeavingMember() ? "a member leaves" : BOXES_WANTED;
  }

  /**
   * The closing of one replica.
   *
   * @param sinceNanos the time of the decision, on the steady clock
   * @param isUrgent true if the short drain limit applies
   */
  private record Closing(long sinceNanos, boolean isUrgent) {
    long limitNanos(ReconcilerTiming timing) {
      return isUrgent ? timing.urgentDrainLimitNanos() : timing.drainLimitNanos();
    }
  }
}
