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
 * Choice of the replicas that the available boxes of a domain form while there is traffic.
 *
 * <p>The declared shares of the models apply to a complete fleet. Once boxes are lost, the choice
 * depends on the requests open at each model's replicas in all domains: of all ways to use the
 * available boxes, it is the one that leaves the highest pressure of any model lowest. This class
 * is immutable and thread-safe.
 */
final class DomainPacking {
  /**
   * Assumed open requests of a model without replicas, in multiples of the slots of a replica. The
   * actual number is unknown, because refused requests are not counted.
   */
  private static final double ASSUMED_OPEN_REPLICAS = 1;

  private final List<ModelShape> models;
  private final List<ModelShape> largestFirst;
  private final Demand demand;
  private final Map<String, Integer> replicasElsewhere;

  private DomainPacking(
      List<ModelShape> models, Demand demand, Map<String, Integer> replicasElsewhere) {
    this.models = List.copyOf(models);
    this.largestFirst =
        models.stream().sorted(Comparator.comparingInt(model -> -model.boxes())).toList();
    this.demand = demand;
    this.replicasElsewhere = Map.copyOf(replicasElsewhere);
  }

  /**
   * Returns the packing for one domain.
   *
   * @param models the wanted models, not null
   * @param demand the load of the models over all domains, not null
   * @param observedBoxes the boxes of the domain, not null
   */
  static DomainPacking of(
      List<ModelShape> models, Demand demand, Collection<ObservedBox> observedBoxes) {
    Map<String, Integer> replicasElsewhere = new HashMap<>();
    for (ModelShape model : models) {
      long here =
          observedBoxes.stream()
              .map(ObservedBox::box)
              .filter(box -> box.isOpenHead() && model.name().equals(box.model()))
              .count();
      int count = demand.replicaCount(model.name()) - (int) here;
      replicasElsewhere.put(model.name(), Math.max(0, count));
    }
    return new DomainPacking(models, demand, replicasElsewhere);
  }

  /**
   * Returns the number of replicas of each model to form.
   *
   * @param boxes the boxes that are free or will be soon, not null
   * @param retained the number of retained replicas of each model in the domain, not null
   */
  Map<String, Integer> fill(Collection<ObservedBox> boxes, Map<String, Integer> retained) {
    return ReplicaPlan.packings(models, boxes.size()).stream()
        .map(packing -> formable(packing, boxes))
        .min(
            Comparator.comparingDouble(
                    (Map<String, Integer> packing) -> highestPressure(retained, packing))
                .thenComparingDouble(packing -> sumOfPressures(retained, packing)))
        .orElse(Map.of());
  }

  /** Returns the highest pressure of any model with the retained and the newly formed replicas. */
  double highestPressure(Map<String, Integer> retained, Map<String, Integer> formed) {
    return models.stream().mapToDouble(model -> pressure(model, retained, formed)).max().orElse(0);
  }

  private double sumOfPressures(Map<String, Integer> retained, Map<String, Integer> formed) {
    return models.stream().mapToDouble(model -> pressure(model, retained, formed)).sum();
  }

  private double pressure(
      ModelShape model, Map<String, Integer> retained, Map<String, Integer> formed) {
    String name = model.name();
    int here = retained.getOrDefault(name, 0) + formed.getOrDefault(name, 0);
    int replicas = replicasElsewhere.getOrDefault(name, 0) + here;
    if (replicas == 0) {
      return Demand.NO_REPLICA_PRESSURE;
    }
    int now = demand.replicaCount(name);
    double open = now == 0 ? ASSUMED_OPEN_REPLICAS : demand.pressure(name) * now;
    return open / replicas;
  }

  /** Returns the replicas of the packing whose boxes need no weights from the weight store. */
  private Map<String, Integer> formable(
      Map<String, Integer> packing, Collection<ObservedBox> boxes) {
    Map<String, Integer> formable = new HashMap<>();
    List<ObservedBox> left = new ArrayList<>(boxes);
    for (ModelShape model : largestFirst) {
      for (int i = 0; i < packing.getOrDefault(model.name(), 0); i++) {
        List<ObservedBox> members =
            left.stream()
                .filter(box -> !box.isCold(model))
                .sorted(Comparator.comparingInt(box -> box.joinCost(model)))
                .limit(model.boxes())
                .toList();
        if (members.size() == model.boxes()) {
          // By id, because the generated equals of ObservedBox uses method handles, which are slow.
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
