package org.shoreroad.replica;

import org.shoreroad.Box;
import org.shoreroad.LoadName;
import org.shoreroad.state.DissolveReason;

/**
 * Action that the owner of a generation has decided on.
 *
 * <p>Implementations are immutable and thread-safe.
 *
 * @since 0.1
 */
public sealed interface ReplicaAction {
  /**
   * Order to a box to load a model. It is sent once; its load name is never used again.
   *
   * @param box the box
   * @param name the load name
   * @param rank the zero-based position of the box in the replica
   */
  record OrderLoad(Box box, LoadName name, int rank) implements ReplicaAction {}

  /**
   * Order to a box to unload a model.
   *
   * @param box the box
   * @param loadName the load name
   */
  record OrderUnload(Box box, String loadName) implements ReplicaAction {}

  /**
   * Proposal, appended to the log, to dissolve the generation.
   *
   * @param reason the reason
   */
  record ProposeDissolve(DissolveReason reason) implements ReplicaAction {}

  /**
   * Proposal, appended to the log, to release a box.
   *
   * @param box the box's name
   */
  record ProposeRelease(String box) implements ReplicaAction {}
}
