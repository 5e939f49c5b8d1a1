package org.shoreroad.fleet;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** The observed members of one replica. Not thread-safe: used by one thread. */
final class ObservedReplica {
  private final ReplicaId replica;
  private final Map<Integer, ObservedBox> membersByRank = new LinkedHashMap<>();

  private ObservedReplica(ReplicaId replica) {
    this.replica = replica;
  }

  /** Returns the replicas of which the boxes report to be members; dead boxes are left out. */
  static Map<ReplicaId, ObservedReplica> from(Collection<ObservedBox> observedBoxes) {
    Map<ReplicaId, ObservedReplica> found = new LinkedHashMap<>();
    for (ObservedBox observed : observedBoxes) {
      Membership membership = observed.box().membership();
      if (membership != null && !observed.isDead()) {
        found
            .computeIfAbsent(membership.replica(), ObservedReplica::new)
            .membersByRank
            .put(membership.rank(), observed);
      }
    }
    return found;
  }

  ReplicaId replica() {
    return replica;
  }

  @Nullable ObservedBox head() {
    return membersByRank.get(0);
  }

  Collection<ObservedBox> members() {
    return membersByRank.values();
  }

  /** Returns the model that the members report, or null if none does. */
  @Nullable String model() {
    for (ObservedBox member : members()) {
      if (member.box().model() != null) {
        return member.box().model();
      }
    }
    return null;
  }

  boolean hasLostMember(int size) {
    return membersByRank.size() < size || members().stream().anyMatch(ObservedBox::isLost);
  }

  boolean hasLeavingMember() {
    return members().stream().anyMatch(observed -> observed.box().isLeaving());
  }

  boolean isEveryMemberReady() {
    return members().stream()
        .allMatch(
            member ->
                member.isIn(replica, MemberState.READY) || member.isIn(replica, MemberState.OPEN));
  }
}
