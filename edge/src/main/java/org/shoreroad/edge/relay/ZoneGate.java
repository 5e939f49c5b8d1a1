package org.shoreroad.edge.relay;

import org.shoreroad.edge.sync.Evacuations;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.ReplicaId;

/**
 * Decides which upstreams get no requests because their availability zone is evacuated: those in
 * the zone, and heads of replicas with a member there. Used on the event loop.
 *
 * @since 0.2
 */
public final class ZoneGate {
  private final Fleet fleet;
  private final Evacuations evacuations;

  /** Creates a gate over the evacuated zones. */
  public ZoneGate(Fleet fleet, Evacuations evacuations) {
    this.fleet = fleet;
    this.evacuations = evacuations;
  }

  /** Returns true if no zone is evacuated. */
  boolean isEmpty() {
    return evacuations.isEmpty();
  }

  /** Returns the number of times a zone was evacuated or returned. */
  long changes() {
    return evacuations.changes();
  }

  /** Returns true if the upstream must get no requests. */
  boolean isClosed(FleetBox upstream) {
    if (evacuations.isEmpty()) {
      return false;
    }
    return evacuations.isEvacuated(upstream.zone()) || hasEvacuatedMember(upstream);
  }

  private boolean hasEvacuatedMember(FleetBox head) {
    if (head.membership() == null || head.domain() == null) {
      return false;
    }
    ReplicaId replica = head.membership().replica();
    String domain = Fleet.domainKey(head.service(), head.domain());
    return fleet.boxesOf(domain).stream()
        .filter(box -> box.membership() != null && box.membership().replica().equals(replica))
        .anyMatch(box -> evacuations.isEvacuated(box.zone()));
  }
}
