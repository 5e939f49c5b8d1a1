package org.shoreroad.replica;

import org.shoreroad.Box;
import org.shoreroad.LoadName;
import org.shoreroad.state.DissolveReason;

/**
 * What the owner of a generation wants done.
 *
 * <p>Implementations are immutable and thread-safe.
 *
 * @since 0.1
 */
public sealed interface ReplicaAction {
  /**
   * Order a box to load; to be sent once, under a name never used again.
   *
   * @param box the box
   * @param name the name to load under
   * @param rank the box's place in the replica, from 0
   */
  record OrderLoad(Box box, LoadName name, int rank) implements ReplicaAction {}

  /**
   * Order a box to unload.
   *
   * @param box the box
   * @param loadName the name to unload
   */
  record OrderUnload(Box box, String loadName) implements ReplicaAction {}

  /**
   * Propose in the log that the generation ends.
   *
   * @param reason why
   */
  record ProposeDissolve(DissolveReason reason) implements ReplicaAction {}

  /**
   * Propose in the log that a box is free.
   *
   * @param box the box's name
   */
  record ProposeRelease(String box) implements ReplicaAction {}
}
