package org.shoreroad.daemon.owner;

import java.util.List;
import java.util.Map;
import org.shoreroad.state.Generation;

/**
 * What a process owned at one moment, for operators and metrics.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param replicas each owned generation
 * @param serving how many of them serve
 * @param running how many requests run
 * @param queued how many requests wait
 * @since 0.1
 */
public record OwnerSnapshot(List<ReplicaView> replicas, int serving, int running, int queued) {
  /** Nothing is owned. */
  public static final OwnerSnapshot EMPTY = new OwnerSnapshot(List.of(), 0, 0, 0);

  /** Copies the list. */
  public OwnerSnapshot {
    replicas = List.copyOf(replicas);
  }

  /**
   * One owned generation.
   *
   * @param generation the generation
   * @param isServing whether it is whole and standing
   * @param running how many requests run
   * @param queued how many requests wait
   * @param boxes what was last seen of each box, by name
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
