package org.shoreroad.fleet;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
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
    Map<String, Map<String, Integer>> wanted = new LinkedHashMap<>();
    // The order of the names makes every process fill the domains alike.
    new TreeMap<>(boxesByDomain)
        .forEach((domain, boxes) -> wanted.put(domain, fill(spec, boxes, boxesUsed)));
    return new ReplicaPlan(wanted);
  }

  /** Returns how many replicas of the model the domain is to hold. */
  public int wanted(String domain, String model) {
    return wantedByDomain.getOrDefault(domain, Map.of()).getOrDefault(model, 0);
  }

  private static Map<String, Integer> fill(
      EngineSpec spec, int boxes, Map<String, Integer> boxesUsed) {
    int reserve = boxes >= RESERVE_FROM_BOXES ? boxes / BOXES_PER_RESERVE : 0;
    int left = boxes - reserve;
    Map<String, Integer> counts = new HashMap<>();
    while (true) {
      int free = left;
      // The model furthest behind its share of the boxes comes next, of those that still fit.
      ModelShape next =
          spec.models().stream()
              .filter(model -> model.boxes() <= free && model.share() > 0)
              .min(Comparator.comparingDouble(model -> fillLevel(model, boxesUsed)))
              .orElse(null);
      if (next == null) {
        return counts;
      }
      counts.merge(next.name(), 1, Integer::sum);
      boxesUsed.merge(next.name(), next.boxes(), Integer::sum);
      left -= next.boxes();
    }
  }

  private static double fillLevel(ModelShape model, Map<String, Integer> boxesUsed) {
    return boxesUsed.getOrDefault(model.name(), 0) / model.share();
  }
}
