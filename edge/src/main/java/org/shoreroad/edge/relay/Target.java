package org.shoreroad.edge.relay;

import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.FleetBox;

/**
 * The upstream that a request is sent to.
 *
 * @param box the upstream: the head of a replica, or one of a plain service
 * @param load what this process knows of its load
 * @since 0.2
 */
record Target(FleetBox box, UpstreamLoad load) {
  /** Returns the name of the replica, or null for a plain service. */
  @Nullable String replicaName() {
    return box.membership() == null ? null : box.membership().replica().toString();
  }
}
