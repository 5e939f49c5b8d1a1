package org.shoreroad.edge.relay;

import java.util.Objects;

/**
 * Open replica head as this process observes it, with its load over all processes.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param id the id of the head, not null
 * @param domain the key of its fabric domain, not null
 * @param zone its availability zone, not null
 * @param openCount the number of open requests of all processes, this one included
 * @param peerGrantedCount the number of those of other processes that were granted room by the
 *     owner of the domain
 * @param unreadTokens the prompt tokens of the open requests without an event
 * @param slowness the measured duration of a pass divided by the specified one, at least 1
 * @param startsPerSecond the number of requests that it may be sent in a second while it is cold,
 *     {@link Double#POSITIVE_INFINITY} if it isn't cold
 * @param isUsable true if this process may send it requests now
 * @since 0.2
 */
public record HeadView(
    String id,
    String domain,
    String zone,
    int openCount,
    int peerGrantedCount,
    long unreadTokens,
    double slowness,
    double startsPerSecond,
    boolean isUsable) {
  /** Checks that no name is null. */
  public HeadView {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(domain, "domain");
    Objects.requireNonNull(zone, "zone");
  }

  /** Returns the head as one that may not be sent requests. */
  public HeadView withoutUse() {
    return new HeadView(
        id,
        domain,
        zone,
        openCount,
        peerGrantedCount,
        unreadTokens,
        slowness,
        startsPerSecond,
        false);
  }
}
