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
 * Which replicas the boxes of a domain that no replica holds are to form while there is traffic.
 *
 * <p>The declared shares of the models fit a whole fleet. Once boxes are lost, a domain goes by
 * what is open at each model's replicas in all domains: of all ways to use its free boxes it takes
 * the one after which the most pressed model is least pressed. This class is immutable and
 * thread-safe.
 */
final class DomainPacking {
  /** What is open, in replicas, of a model that had none: what was refused is not counted. */
  private static final double UNKNOWN_OPEN = 1;

  private final List<ModelShape> models;
  private final List<ModelShape> largestFirst;
  private final Demand demand;
  private final Map<String, Integer> elsewhere;

  private DomainPacking(List<ModelShape> models, Demand demand, Map<String, Integer> elsewhere) {
    this.models = List.copyOf(models);
    this.largestFirst =
        models.stream().sorted(Comparator.comparingInt(model -> -model.boxes())).toList();
    this.demand = demand;
    this.elsewhere = Map.copyOf(elsewhere);
  }

  /**
   * Returns the packing for one domain.
   *
   * @param models the models that are wanted at all, not null
   * @param demand how pressed they are over all domains, not null
   * @param observedBoxes the boxes of the domain, not null
   */
  static DomainPacking of(
      List<ModelShape> models, Demand demand, Collection<ObservedBox> observedBoxes) {
    Map<String, Integer> elsewhere = new HashMap<>();
    for (ModelShape model : models) {
      long here =
          observedBoxes.stream()
              .map(ObservedBox::box)
              .filter(box -> box.isOpenHead() && model.name().equals(box.model()))
              .count();
      int count = demand.replicaCount(model.name()) - (int) here;
      elsewhere.put(model.name(), Math.max(0, count));
    }
    return new DomainPacking(models, demand, elsewhere);
  }

  /**
   * Returns how many replicas of each model to form.
   *
   * @param boxes the boxes that are free or come free soon, not null
   * @param standing the replicas of each model that stay in the domain, not null
   */
  Map<String, Integer> fill(Collection<ObservedBox> boxes, Map<String, Integer> standing) {
    return ReplicaPlan.packings(models, boxes.size()).stream()
        .map(packing -> formable(packing, boxes))
        .min(
            Comparator.comparingDouble(
                    (Map<String, Integer> packing) -> worstPressure(standing, packing))
                .thenComparingDouble(packing -> sumOfPressures(standing, packing)))
        .orElse(Map.of());
  }

  /** Returns the pressure of the most pressed model with the replicas that stand and are formed. */
  double worstPressure(Map<String, Integer> standing, Map<String, Integer> formed) {
    return models.stream().mapToDouble(model -> pressure(model, standing, formed)).max().orElse(0);
  }

  private double sumOfPressures(Map<String, Integer> standing, Map<String, Integer> formed) {
    return models.stream().mapToDouble(model -> pressure(model, standing, formed)).sum();
  }

  private double pressure(
      ModelShape model, Map<String, Integer> standing, Map<String, Integer> formed) {
    String name = model.name();
    int here = standing.getOrDefault(name, 0) + formed.getOrDefault(name, 0);
    int replicas = elsewhere.getOrDefault(name, 0) + here;
    if (replicas == 0) {
      return Demand.NO_REPLICA_PRESSURE;
    }
    int now = demand.replicaCount(name);
    double open = now == 0 ? UNKNOWN_OPEN : demand.pressure(name) * now;
    return open / replicas;
  }

  /** Returns the part of the packing whose boxes need not load weights from the weight store. */
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
          // By id: equality of two observed boxes compares all their parts by method handles.
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
