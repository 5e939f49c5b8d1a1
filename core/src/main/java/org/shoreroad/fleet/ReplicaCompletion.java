package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiPredicate;
import org.jspecify.annotations.Nullable;

/**
 * The loads of weights that turn unused boxes of a domain into a replica with the fewest loads.
 *
 * <p>After a loss, the other boxes of a replica hold its weights but are one or two short of a
 * replica. With the weights of the same model on as many spare boxes, they serve again after one
 * load; with those of another model, only after a load for each of them.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param model the model of the replica, not null
 * @param boxes the boxes that lack its weights, not null
 */
record ReplicaCompletion(ModelShape model, List<ObservedBox> boxes) {
  /** Creates a completion with a copy of the list. */
  ReplicaCompletion {
    boxes = List.copyOf(boxes);
  }

  /**
   * Returns the completion that needs the fewest loads for the size of its replica, or null if no
   * replica can be completed or if one needs no load.
   *
   * @param free the unused boxes, not null
   * @param models the wanted models by falling pressure, which decides between equal ones, not null
   * @param isLoading returns true if the weights of the model are being loaded for the box, not
   *     null
   */
  static @Nullable ReplicaCompletion choose(
      Collection<ObservedBox> free,
      List<ModelShape> models,
      BiPredicate<ObservedBox, ModelShape> isLoading) {
    ReplicaCompletion best = null;
    for (ModelShape model : models) {
      ReplicaCompletion candidate = of(model, free, isLoading);
      if (candidate != null && (best == null || candidate.loadsPerBox() < best.loadsPerBox())) {
        best = candidate;
      }
    }
    return best == null || best.boxes.isEmpty() ? null : best;
  }

  private double loadsPerBox() {
    return (double) boxes.size() / model.boxes();
  }

  private static @Nullable ReplicaCompletion of(
      ModelShape model,
      Collection<ObservedBox> free,
      BiPredicate<ObservedBox, ModelShape> isLoading) {
    List<ObservedBox> cold = new ArrayList<>();
    int warm = 0;
    for (ObservedBox observed : free) {
      if (observed.isCold(model)) {
        cold.add(observed);
      } else {
        warm++;
      }
    }
    int lacking = Math.max(0, model.boxes() - warm);
    // At least one box has the weights: otherwise it is no completion but a new replica.
    if (warm == 0 || cold.size() < lacking) {
      return null;
    }
    cold.sort(
        Comparator.comparing((ObservedBox observed) -> !isLoading.test(observed, model))
            .thenComparing(observed -> !observed.isBlank())
            .thenComparing(observed -> observed.box().id()));
    return new ReplicaCompletion(model, cold.subList(0, lacking));
  }
}
