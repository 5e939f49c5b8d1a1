package org.shoreroad.fleet;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.BoxOrder.Verb;

/** The replicas of a domain whose boxes are to serve elsewhere; for one thread. */
final class ClosingReplicas {
  /** Why a whole replica is closed. */
  private static final String MAKES_ROOM = "a wanted replica lacks boxes";

  private static final String MEMBER_IS_LOST = "a member is lost";

  private final ReconcilerTiming timing;
  private final Map<ReplicaId, Closing> closings = new HashMap<>();

  /**
   * Creates closings of which none is under way.
   *
   * @param timing how long running requests may keep a closing replica, not null
   */
  ClosingReplicas(ReconcilerTiming timing) {
    this.timing = timing;
  }

  /**
   * Notes that a replica is to be closed, unless that is noted.
   *
   * @param isUrgent true if its work is waited for only a short time
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

  /** Forgets all other replicas: they are gone. */
  void retain(Set<ReplicaId> replicas) {
    closings.keySet().retainAll(replicas);
  }

  /** Returns the heads among the boxes whose closing is waited for. */
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
   * Returns the order that closes a replica, which is noted if it was not, or null if its head only
   * has to end its work.
   *
   * @param isWhole false if a member seems to be lost; then its work can't end if it stands still
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
    // A head that gives events has all its members, although one of them does not answer here.
    if (!isWhole && head.isStalled()) {
      return BoxOrder.of(headId, Verb.CLOSE_NOW, replica.replica(), MEMBER_IS_LOST);
    }
    if (nowNanos - closing.sinceNanos() > closing.limitNanos(timing)) {
      return BoxOrder.of(headId, Verb.CLOSE_NOW, replica.replica(), "its work lasts too long");
    }
    String reason = reason(replica, isWhole);
    return state == MemberState.OPEN
        ? BoxOrder.of(headId, Verb.CLOSE_AFTER_WORK, replica.replica(), reason)
        : null;
  }

  private static String reason(ObservedReplica replica, boolean isWhole) {
    if (!isWhole) {
      return MEMBER_IS_LOST;
    }
    return replica.hasLeavingMember() ? "a member leaves" : MAKES_ROOM;
  }

  /**
   * A closing.
   *
   * @param sinceNanos when it was decided
   * @param isUrgent true if the replica's work is waited for only a short time
   */
  private record Closing(long sinceNanos, boolean isUrgent) {
    long limitNanos(ReconcilerTiming timing) {
      return isUrgent ? timing.urgentDrainLimitNanos() : timing.drainLimitNanos();
    }
  }
}
