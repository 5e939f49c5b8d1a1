package org.shoreroad.admission;

import java.util.Objects;

/**
 * State of a replica head as the owner of its domain observes it, apart from the room that the
 * owner itself has granted.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param id the id of the head, not null
 * @param zone its availability zone, not null
 * @param foreignOpen the number of open requests that the owner has not granted, 0 or more
 * @param foreignUnreadTokens the prompt tokens of those of them without an event, 0 or more
 * @param slowness the measured duration of a pass divided by the specified one, at least 1
 * @param isUsable true if the head may be sent requests now
 * @param startsPerSecond the number of requests that it may be sent in a second while it is cold,
 *     {@link Double#POSITIVE_INFINITY} if it isn't cold
 * @since 0.2
 */
public record HeadState(
    String id,
    String zone,
    int foreignOpen,
    long foreignUnreadTokens,
    double slowness,
    boolean isUsable,
    double startsPerSecond) {
  /** Checks that no name is null. */
  public HeadState {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(zone, "zone");
  }
}
