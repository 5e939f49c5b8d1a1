package org.shoreroad.placement;

import java.util.List;
import org.shoreroad.Box;
import org.shoreroad.state.DissolveReason;

/**
 * One change that the planner wants.
 *
 * <p>Implementations are immutable and thread-safe.
 *
 * @since 0.1
 */
public sealed interface PlanStep {
  /**
   * Form a replica.
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
   * Dissolve a generation.
   *
   * @param generation its number
   * @param reason why
   */
  record Dissolve(long generation, DissolveReason reason) implements PlanStep {}
}
