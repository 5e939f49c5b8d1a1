package org.shoreroad.demand;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;

/**
 * Count of the replicas that are being formed, as other processes can see it.
 *
 * <p>The head of a replica that was closed, or that broke while it was formed, is in the same state
 * as one of a replica that is being formed. So a replica counts only for a short time after its
 * head was first seen. Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class FormingReplicas {
  /** Joining with weights from the host and opening take 2 to 3 s; twice that, it has failed. */
  private static final long MAX_FORMING_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final Map<ReplicaId, Long> firstSeenNanos = new HashMap<>();
  private Collection<FleetBox> heads = Set.of();

  /**
   * Replaces the observed heads.
   *
   * @param newHeads the heads of replicas of the service in any state, not null
   * @param nowNanos the time on the steady clock, in nanoseconds
   */
  public void update(Collection<FleetBox> newHeads, long nowNanos) {
    heads = newHeads;
    Set<ReplicaId> present = new HashSet<>();
    for (FleetBox head : newHeads) {
      Membership membership = head.membership();
      if (membership != null) {
        present.add(membership.replica());
        firstSeenNanos.putIfAbsent(membership.replica(), nowNanos);
      }
    }
    firstSeenNanos.keySet().retainAll(present);
  }

  /** Returns the number of replicas of the model that are being formed. */
  public int count(String model, long nowNanos) {
    int count = 0;
    for (FleetBox head : heads) {
      Membership membership = head.membership();
      if (membership != null && head.isFormingHead(model)) {
        long seenNanos = firstSeenNanos.getOrDefault(membership.replica(), nowNanos);
        count += nowNanos - seenNanos < MAX_FORMING_NANOS ? 1 : 0;
      }
    }
    return count;
  }
}
