package org.shoreroad.fleet;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The members of one replica as they are seen; used by one thread. */
final class ObservedReplica {
  private final ReplicaId replica;
  private final Map<Integer, BoxSight> membersByRank = new LinkedHashMap<>();

  private ObservedReplica(ReplicaId replica) {
    this.replica = replica;
  }

  /** Returns the replicas that the boxes say they belong to. */
  static Map<ReplicaId, ObservedReplica> from(Collection<BoxSight> sights) {
    Map<ReplicaId, ObservedReplica> found = new LinkedHashMap<>();
    for (BoxSight sight : sights) {
      Membership membership = sight.box().membership();
      if (membership != null && !sight.isDead()) {
        found
            .computeIfAbsent(membership.replica(), ObservedReplica::new)
            .membersByRank
            .put(membership.rank(), sight);
      }
    }
    return found;
  }

  ReplicaId replica() {
    return replica;
  }

  @Nullable BoxSight head() {
    return membersByRank.get(0);
  }

  Collection<BoxSight> members() {
    return membersByRank.values();
  }

  /** Returns the model that its members hold, or null if none says. */
  @Nullable String model() {
    for (BoxSight member : members()) {
      if (member.box().model() != null) {
        return member.box().model();
      }
    }
    return null;
  }

  boolean hasLostMember(int size) {
    return membersByRank.size() < size || members().stream().anyMatch(BoxSight::isLost);
  }

  boolean hasLeavingMember() {
    return members().stream().anyMatch(sight -> sight.box().isLeaving());
  }

  boolean isEveryMemberReady() {
    return members().stream()
        .allMatch(
            member ->
                member.isIn(replica, MemberState.READY) || member.isIn(replica, MemberState.OPEN));
  }
}
