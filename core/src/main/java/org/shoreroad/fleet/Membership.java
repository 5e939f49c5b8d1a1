package org.shoreroad.fleet;

import java.util.Objects;

/**
 * A box's place in a replica, as its engine tells it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param replica the replica, not null
 * @param rank the place in the list of members; the head has 0
 * @param state how far the box is, not null
 * @since 0.2
 */
public record Membership(ReplicaId replica, int rank, MemberState state) {
  /** Checks that all parts are there. */
  public Membership {
    Objects.requireNonNull(replica, "replica");
    Objects.requireNonNull(state, "state");
  }

  /** Returns true if this is the place of the replica's head. */
  public boolean isHead() {
    return rank == 0;
  }
}
