package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * How many replicas of each model every domain is to hold.
 *
 * <p>Every process derives the same plan from the same list. Of a large domain a quarter of the
 * boxes is a reserve: it serves in small replicas that give way as soon as a wanted one lacks a
 * box. A small domain has nothing to spare. This class is immutable and thread-safe.
 *
 * @since 0.2
 */
public final class ReplicaPlan {
  /** From this many boxes on, a domain keeps a reserve. */
  private static final int RESERVE_FROM_BOXES = 8;

  /** One box in this many belongs to the reserve: enough for two losses before new boxes come. */
  private static final int BOXES_PER_RESERVE = 4;

  private final Map<String, Map<String, Integer>> wantedByDomain;

  private ReplicaPlan(Map<String, Map<String, Integer>> wantedByDomain) {
    this.wantedByDomain = wantedByDomain;
  }

  /**
   * Returns the plan for a service.
   *
   * @param spec the engines of the service, not null
   * @param boxesByDomain how many boxes each domain has, not null
   * @return the plan
   */
  public static ReplicaPlan of(EngineSpec spec, Map<String, Integer> boxesByDomain) {
    Map<String, Integer> boxesUsed = new HashMap<>();
    Set<String> wantedOf = new HashSet<>();
    Map<String, Map<String, Integer>> wanted = new LinkedHashMap<>();
    // The order of the names makes every process fill the domains alike.
    new TreeMap<>(boxesByDomain)
        .forEach((domain, boxes) -> wanted.put(domain, fill(spec, boxes, boxesUsed, wantedOf)));
    return new ReplicaPlan(wanted);
  }

  /** Returns how many replicas of the model the domain is to hold. */
  public int wanted(String domain, String model) {
    return wantedByDomain.getOrDefault(domain, Map.of()).getOrDefault(model, 0);
  }

  /** Chooses what a domain holds so that the models' shares of all boxes come out best. */
  private static Map<String, Integer> fill(
      EngineSpec spec, int boxes, Map<String, Integer> boxesUsed, Set<String> wantedOf) {
    int reserve = boxes >= RESERVE_FROM_BOXES ? boxes / BOXES_PER_RESERVE : 0;
    List<ModelShape> models =
        spec.models().stream()
            .filter(model -> model.share() > 0 && model.boxes() <= boxes)
            .toList();
    if (models.isEmpty()) {
      return Map.of();
    }
    // The reserve serves the smallest model, so it counts for its share.
    ModelShape smallest = Collections.min(models, Comparator.comparingInt(ModelShape::boxes));
    boxesUsed.merge(smallest.name(), reserve, Integer::sum);
    List<Map<String, Integer>> packings = packings(models, boxes - reserve);
    Map<String, Integer> best =
        Collections.min(
            packings,
            // No model lives in the reserve alone, which gives way to others.
            Comparator.comparingInt((Map<String, Integer> packing) -> -countNew(packing, wantedOf))
                .thenComparingDouble(packing -> imbalance(models, packing, boxesUsed))
                .thenComparingInt(packing -> -usedBoxes(models, packing)));
    for (ModelShape model : models) {
      boxesUsed.merge(
          model.name(), best.getOrDefault(model.name(), 0) * model.boxes(), Integer::sum);
    }
    wantedOf.addAll(best.keySet());
    return best;
  }

  private static int countNew(Map<String, Integer> packing, Set<String> wantedOf) {
    return (int) packing.keySet().stream().filter(model -> !wantedOf.contains(model)).count();
  }

  /** Returns each way to fill the boxes with replicas until nothing more fits. */
  static List<Map<String, Integer>> packings(List<ModelShape> models, int boxes) {
    List<Map<String, Integer>> packings = new ArrayList<>();
    pack(models, 0, boxes, Map.of(), packings);
    return packings;
  }

  /** Adds each way to fill the boxes, with models from the given one on, until nothing fits. */
  private static void pack(
      List<ModelShape> models,
      int first,
      int left,
      Map<String, Integer> counts,
      List<Map<String, Integer>> packings) {
    if (models.stream().noneMatch(model -> model.boxes() <= left)) {
      packings.add(counts);
    }
    for (int i = first; i < models.size(); i++) {
      ModelShape model = models.get(i);
      if (model.boxes() <= left) {
        Map<String, Integer> next = new HashMap<>(counts);
        next.merge(model.name(), 1, Integer::sum);
        // Models before this one are not added any more, so that each combination comes once.
        pack(models, i, left - model.boxes(), next, packings);
      }
    }
  }

  /** Returns how far the fullest model is ahead of the emptiest, in boxes for each share. */
  private static double imbalance(
      List<ModelShape> models, Map<String, Integer> packing, Map<String, Integer> boxesUsed) {
    double least = Double.MAX_VALUE;
    double most = 0;
    for (ModelShape model : models) {
      double level =
          fillLevel(model, boxesUsed)
              + packing.getOrDefault(model.name(), 0) * model.boxes() / model.share();
      least = Math.min(least, level);
      most = Math.max(most, level);
    }
    return most - least;
  }

  private static int usedBoxes(List<ModelShape> models, Map<String, Integer> packing) {
    return models.stream()
        .mapToInt(model -> packing.getOrDefault(model.name(), 0) * model.boxes())
        .sum();
  }

  private static double fillLevel(ModelShape model, Map<String, Integer> boxesUsed) {
    return boxesUsed.getOrDefault(model.name(), 0) / model.share();
  }
}
