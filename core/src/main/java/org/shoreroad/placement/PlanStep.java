package org.shoreroad.placement;

import java.util.List;
import org.shoreroad.Box;
import org.shoreroad.state.DissolveReason;

/**
 * Step of a plan.
 *
 * <p>Implementations are immutable and thread-safe.
 *
 * @since 0.1
 */
public sealed interface PlanStep {
  /**
   * Forms a replica.
   *
   * @param model the model
   * @param boxes the boxes, head first
   */
  record Form(String model, List<Box> boxes) implements PlanStep {
    /** Copies the boxes. */
    public Form {
      boxes = List.copyOf(boxes);
    }
  }

  /**
   * Dissolves a generation.
   *
   * @param generation the number of the generation
   * @param reason the reason
   */
  record Dissolve(long generation, DissolveReason reason) implements PlanStep {}
}
