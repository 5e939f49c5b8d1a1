package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reference for the search of replicas: lists every way to fill boxes, whose number grows
 * exponentially with the models. All methods are pure and thread-safe.
 */
final class ListedPackings {
  private ListedPackings() {}

  /** Returns each way to fill the boxes with replicas until no other one fits. */
  static List<Map<String, Integer>> of(List<ModelShape> models, int boxes) {
    List<Map<String, Integer>> packings = new ArrayList<>();
    pack(models, 0, boxes, Map.of(), packings);
    return packings;
  }

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
        pack(models, i, left - model.boxes(), next, packings);
      }
    }
  }

  /** Returns the replicas of the packing whose boxes need no weights from the weight store. */
  static Map<String, Integer> formable(
      List<ModelShape> models, Map<String, Integer> packing, Collection<ObservedBox> boxes) {
    Map<String, Integer> formable = new HashMap<>();
    List<ObservedBox> left = new ArrayList<>(boxes);
    List<ModelShape> largestFirst =
        models.stream().sorted(Comparator.comparingInt(model -> -model.boxes())).toList();
    for (ModelShape model : largestFirst) {
      for (int i = 0; i < packing.getOrDefault(model.name(), 0); i++) {
        List<ObservedBox> members =
            left.stream()
                .filter(box -> !box.isCold(model))
                .sorted(Comparator.comparingInt(box -> box.joinCost(model)))
                .limit(model.boxes())
                .toList();
        if (members.size() == model.boxes()) {
          Set<String> usedIds = new HashSet<>();
          members.forEach(member -> usedIds.add(member.box().id()));
          left.removeIf(box -> usedIds.contains(box.box().id()));
          formable.merge(model.name(), 1, Integer::sum);
        }
      }
    }
    return formable;
  }
}
