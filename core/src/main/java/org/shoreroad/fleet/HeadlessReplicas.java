package org.shoreroad.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.BoxOrder.Verb;

/**
 * Release of the members of replicas whose head is not observed as a member any more. Not
 * thread-safe: used by one thread.
 *
 * <p>Members are free at once only if their head has left (see {@link DepartedHeads}). Otherwise it
 * may still be open: what is known of it may be older than its membership, and one that is taken
 * for dead can be cut off from the store and from all processes while it reaches its members. So
 * its members have to leave before they join another replica; a box that is in no replica can join
 * one whatever its former head does.
 */
final class HeadlessReplicas {
  private final long doubtNanos;
  private final DepartedHeads departedHeads;
  private final Map<ReplicaId, Long> sinceNanos = new HashMap<>();

  /**
   * Creates an instance without replicas.
   *
   * @param doubtNanos the time for which members stay bound whose head this process has never
   *     observed, or whose reachable head does not confirm its state, in nanoseconds
   * @param departedHeads the replicas that their heads have left, not null
   */
  HeadlessReplicas(long doubtNanos, DepartedHeads departedHeads) {
    this.doubtNanos = doubtNanos;
    this.departedHeads = departedHeads;
  }

  /** Forgets the replicas that are not among these. */
  void retain(Collection<ReplicaId> replicas) {
    sinceNanos.keySet().retainAll(replicas);
  }

  /**
   * Binds the members of a replica that must not join another one yet.
   *
   * @param headsSeen the replicas whose heads this process has observed at any time, not null
   * @param askForReport called with the head if its state must be confirmed first, not null
   * @return the orders to leave the replica, empty if there are none
   */
  List<BoxOrder> release(
      ObservedReplica replica,
      DomainView view,
      Set<ReplicaId> headsSeen,
      Consumer<ObservedBox> askForReport,
      long nowNanos) {
    ObservedBox head = findHeadElsewhere(replica.replica(), view);
    if (head != null && departedHeads.contains(replica.replica(), nowNanos)) {
      // A head does not break its replica over a member that was partitioned together with it, so
      // such a member stays bound.
      view.bind(replica.members().stream().filter(member -> !member.isSteady()).toList());
      return List.of();
    }
    view.bind(replica.members());
    List<ObservedBox> leaving =
        replica.members().stream().filter(member -> member.isSteady() && member.isFit()).toList();
    if (leaving.isEmpty()) {
      return List.of();
    }
    boolean isHeadReachable = head != null && !head.isLost();
    boolean isHeadInDoubt =
        isHeadReachable ? !head.isConfirmed() : !headsSeen.contains(replica.replica());
    if (isHeadInDoubt && isNew(replica.replica(), nowNanos)) {
      if (isHeadReachable) {
        askForReport.accept(head);
      }
      return List.of();
    }
    // No spare box begins a warm-up now, since it can form a replica with these.
    view.addSoonFree(leaving);
    view.recordDissolving(true);
    return leaving.stream().map(member -> leave(member, replica.replica())).toList();
  }

  /** Returns true if a box has to leave another replica before it joins this one. */
  boolean isBoundElsewhere(
      ObservedBox observed, ReplicaId replica, DomainView view, long nowNanos) {
    Membership membership = observed.box().membership();
    if (membership == null || membership.replica().equals(replica)) {
      return false;
    }
    ReplicaId former = membership.replica();
    return findHeadElsewhere(former, view) == null || !departedHeads.contains(former, nowNanos);
  }

  /** Returns the head if it is observed alive and not as a member of the replica, or null. */
  private static @Nullable ObservedBox findHeadElsewhere(ReplicaId replica, DomainView view) {
    String headId = replica.headId();
    ObservedBox head = headId == null ? null : view.observedById().get(headId);
    return head == null || head.isDead() || head.isMemberOf(replica) ? null : head;
  }

  private boolean isNew(ReplicaId replica, long nowNanos) {
    return nowNanos - sinceNanos.computeIfAbsent(replica, id -> nowNanos) < doubtNanos;
  }

  private static BoxOrder leave(ObservedBox member, ReplicaId replica) {
    return BoxOrder.of(member.box().id(), Verb.LEAVE, replica, "its head is gone");
  }
}
