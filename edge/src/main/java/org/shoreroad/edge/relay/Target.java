package org.shoreroad.edge.relay;

import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.FleetBox;

/**
 * An upstream that a request is sent to, with its load. Used on the event loop.
 *
 * @param box the upstream: the head of a replica, or an upstream of a plain service
 * @param load the load of the upstream as known to this process
 * @since 0.2
 */
record Target(FleetBox box, UpstreamLoad load) {
  /** Returns the name of the replica, or null for a plain service. */
  @Nullable String replicaName() {
    return box.membership() == null ? null : box.membership().replica().toString();
  }
}
