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
 * Planned number of replicas of each model in every domain.
 *
 * <p>Every process derives the same plan from the same list. In a large domain a quarter of the
 * boxes is a reserve: these boxes serve in small replicas, which are closed as soon as a planned
 * replica lacks a box. A small domain has no boxes for a reserve. This class is immutable and
 * thread-safe.
 *
 * @since 0.2
 */
public final class ReplicaPlan {
  /** Minimum number of boxes of a domain with a reserve. */
  private static final int MIN_BOXES_WITH_RESERVE = 8;

  /**
   * One box in this many belongs to the reserve: enough for two losses until boxes are replaced.
   */
  private static final int BOXES_PER_RESERVE_BOX = 4;

  private final Map<String, Map<String, Integer>> wantedByDomain;

  private ReplicaPlan(Map<String, Map<String, Integer>> wantedByDomain) {
    this.wantedByDomain = wantedByDomain;
  }

  /**
   * Returns the plan for a service.
   *
   * @param spec the engines of the service, not null
   * @param boxesByDomain the number of boxes of each domain, not null
   * @return the plan
   */
  public static ReplicaPlan of(EngineSpec spec, Map<String, Integer> boxesByDomain) {
    Map<String, Integer> boxesUsed = new HashMap<>();
    Set<String> plannedModels = new HashSet<>();
    Map<String, Map<String, Integer>> wanted = new LinkedHashMap<>();
    // Sorted by name, so that every process derives the same plan.
    new TreeMap<>(boxesByDomain)
        .forEach(
            (domain, boxes) -> wanted.put(domain, fill(spec, boxes, boxesUsed, plannedModels)));
    return new ReplicaPlan(wanted);
  }

  /** Returns the planned number of replicas of the model in the domain. */
  public int wanted(String domain, String model) {
    return wantedByDomain.getOrDefault(domain, Map.of()).getOrDefault(model, 0);
  }

  /** Returns the position of the domain among all domains, the same at every process, or -1. */
  public int rankOf(String domain) {
    return List.copyOf(wantedByDomain.keySet()).indexOf(domain);
  }

  /** Returns the packing of a domain that best approaches the models' shares of all boxes. */
  private static Map<String, Integer> fill(
      EngineSpec spec, int boxes, Map<String, Integer> boxesUsed, Set<String> plannedModels) {
    int reserve = boxes >= MIN_BOXES_WITH_RESERVE ? boxes / BOXES_PER_RESERVE_BOX : 0;
    List<ModelShape> models =
        spec.models().stream()
            .filter(model -> model.share() > 0 && model.boxes() <= boxes)
            .toList();
    if (models.isEmpty()) {
      return Map.of();
    }
    // The reserve serves the smallest model, so it counts towards the share of that model.
    ModelShape smallest = Collections.min(models, Comparator.comparingInt(ModelShape::boxes));
    boxesUsed.merge(smallest.name(), reserve, Integer::sum);
    List<Map<String, Integer>> packings = packings(models, boxes - reserve);
    Map<String, Integer> best =
        Collections.min(
            packings,
            // No model is served by the reserve alone, because its replicas may be closed.
            Comparator.comparingInt(
                    (Map<String, Integer> packing) -> -countNew(packing, plannedModels))
                .thenComparingDouble(packing -> imbalance(models, packing, boxesUsed))
                .thenComparingInt(packing -> -usedBoxes(models, packing)));
    for (ModelShape model : models) {
      boxesUsed.merge(
          model.name(), best.getOrDefault(model.name(), 0) * model.boxes(), Integer::sum);
    }
    plannedModels.addAll(best.keySet());
    return best;
  }

  private static int countNew(Map<String, Integer> packing, Set<String> plannedModels) {
    return (int) packing.keySet().stream().filter(model -> !plannedModels.contains(model)).count();
  }

  /** Returns each way to fill the boxes with replicas until no other one fits. */
  static List<Map<String, Integer>> packings(List<ModelShape> models, int boxes) {
    List<Map<String, Integer>> packings = new ArrayList<>();
    pack(models, 0, boxes, Map.of(), packings);
    return packings;
  }

  /** Adds each way to fill the boxes with models from the first index on until none fits. */
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
        // Earlier models are not added again, so that each combination occurs once.
        pack(models, i, left - model.boxes(), next, packings);
      }
    }
  }

  /** Returns the difference between the highest and the lowest fill level, in boxes per share. */
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
