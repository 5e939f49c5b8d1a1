package org.shoreroad.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.BoxOrder.Verb;

/**
 * Release of the members of replicas whose head is not observed as a member any more. Not
 * thread-safe: used by one thread.
 *
 * <p>A head that has left its replica runs nothing more, so its members are free. One that is only
 * taken for dead may still be open: it can be cut off from the store and from all processes while
 * it reaches its members, and an engine breaks its replica only over the loss of a member. So its
 * members have to leave before they join another replica.
 */
final class HeadlessReplicas {
  private final long unseenNanos;
  private final Map<ReplicaId, Long> sinceNanos = new HashMap<>();

  /**
   * Creates an instance without replicas.
   *
   * @param unseenNanos the time for which members stay bound whose head this process has never
   *     observed, in nanoseconds
   */
  HeadlessReplicas(long unseenNanos) {
    this.unseenNanos = unseenNanos;
  }

  /** Forgets the replicas that are not among these. */
  void retain(Collection<ReplicaId> replicas) {
    sinceNanos.keySet().retainAll(replicas);
  }

  /**
   * Binds the members of a replica that must not join another one yet.
   *
   * @param headsSeen the replicas whose heads this process has observed at any time, not null
   * @return the orders to leave the replica, empty if there are none
   */
  List<BoxOrder> release(
      ObservedReplica replica, DomainView view, Set<ReplicaId> headsSeen, long nowNanos) {
    if (hasHeadLeft(replica.replica(), view)) {
      // A head does not break its replica over a member that was partitioned together with it, so
      // such a member stays bound.
      view.bind(replica.members().stream().filter(member -> !member.isSteady()).toList());
      return List.of();
    }
    view.bind(replica.members());
    if (!headsSeen.contains(replica.replica()) && isNew(replica.replica(), nowNanos)) {
      return List.of();
    }
    List<ObservedBox> leaving =
        replica.members().stream().filter(member -> member.isSteady() && member.isFit()).toList();
    if (!leaving.isEmpty()) {
      // No spare box begins a warm-up now, since it can form a replica with these.
      view.addSoonFree(leaving);
      view.recordDissolving(true);
    }
    return leaving.stream().map(member -> leave(member, replica.replica())).toList();
  }

  /** Returns true if the head is observed alive, and not as a member of the replica. */
  private static boolean hasHeadLeft(ReplicaId replica, DomainView view) {
    String headId = replica.headId();
    @Nullable ObservedBox head = headId == null ? null : view.observedById().get(headId);
    return head != null && !head.isDead();
  }

  private boolean isNew(ReplicaId replica, long nowNanos) {
    return nowNanos - sinceNanos.computeIfAbsent(replica, id -> nowNanos) < unseenNanos;
  }

  private static BoxOrder leave(ObservedBox member, ReplicaId replica) {
    return BoxOrder.of(member.box().id(), Verb.LEAVE, replica, "its head is gone");
  }
}
