package org.shoreroad.daemon.owner;

import java.util.List;
import java.util.Map;
import org.shoreroad.state.Generation;

/**
 * Snapshot of the generations that a process owns, for operators and metrics.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param replicas the owned generations
 * @param serving the number of them that are serving
 * @param running the number of running requests
 * @param queued the number of queued requests
 * @since 0.1
 */
public record OwnerSnapshot(List<ReplicaView> replicas, int serving, int running, int queued) {
  /** The snapshot of a process that owns nothing. */
  public static final OwnerSnapshot EMPTY = new OwnerSnapshot(List.of(), 0, 0, 0);

  /** Copies the list. */
  public OwnerSnapshot {
    replicas = List.copyOf(replicas);
  }

  /**
   * One owned generation.
   *
   * @param generation the generation
   * @param isServing whether it is standing and all of its boxes are ready
   * @param running the number of running requests
   * @param queued the number of queued requests
   * @param boxes the last probe result of each box, {@code answers} or {@code silent}, by name
   */
  public record ReplicaView(
      Generation generation,
      boolean isServing,
      int running,
      int queued,
      Map<String, String> boxes) {
    /** Copies the map. */
    public ReplicaView {
      boxes = Map.copyOf(boxes);
    }
  }
}
