package org.shoreroad.fleet;

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
    int[] counts = search(models, boxes - reserve, boxesUsed, plannedModels).best();
    Map<String, Integer> best = new HashMap<>();
    for (int i = 0; i < counts.length; i++) {
      if (counts[i] > 0) {
        ModelShape model = models.get(i);
        best.put(model.name(), counts[i]);
        boxesUsed.merge(model.name(), counts[i] * model.boxes(), Integer::sum);
      }
    }
    plannedModels.addAll(best.keySet());
    return best;
  }

  /**
   * Returns the search for the best packing. No model is served by the reserve alone, because its
   * replicas may be closed.
   */
  static LevelSearch search(
      List<ModelShape> models,
      int boxes,
      Map<String, Integer> boxesUsed,
      Set<String> plannedModels) {
    int[] used =
        models.stream().mapToInt(model -> boxesUsed.getOrDefault(model.name(), 0)).toArray();
    return new LevelSearch(
        boxes, models, used, model -> !plannedModels.contains(models.get(model).name()));
  }
}
