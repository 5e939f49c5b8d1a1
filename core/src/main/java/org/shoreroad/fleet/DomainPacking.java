package org.shoreroad.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Choice of the replicas that the available boxes of a domain form while there is traffic.
 *
 * <p>The declared shares of the models apply to a complete fleet. Once boxes are lost, the choice
 * depends on the requests open at each model's replicas in all domains: of all ways to use the
 * available boxes, it is the one that leaves the highest pressure of any model lowest. While
 * requests are refused or late, the needs of the models count instead of the open requests, and
 * replicas that other domains are forming count as present. This class is immutable and
 * thread-safe.
 */
final class DomainPacking {
  /**
   * Assumed open requests of a model without replicas, in multiples of the slots of a replica. The
   * actual number is unknown unless refused requests are counted.
   */
  private static final double ASSUMED_OPEN_REPLICAS = 1;

  private final List<ModelShape> models;
  private final Demand demand;
  private final Map<String, Integer> replicasElsewhere;

  private DomainPacking(
      List<ModelShape> models, Demand demand, Map<String, Integer> replicasElsewhere) {
    this.models = List.copyOf(models);
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
    Demand.Strain strain = demand.strain();
    for (ModelShape model : models) {
      String name = model.name();
      int openHere = countHeads(observedBoxes, box -> box.isOpenHead() && name.equals(box.model()));
      int open = Math.max(0, demand.replicaCount(name) - openHere);
      int forming = strain == null ? 0 : strain.formingCount(name);
      // Heads of closed replicas are in the same state, but are not among the counted ones, so they
      // must not reduce the number of open replicas.
      int formingHere =
          forming == 0 ? 0 : countHeads(observedBoxes, box -> box.isFormingHead(name));
      replicasElsewhere.put(name, open + Math.max(0, forming - formingHere));
    }
    return new DomainPacking(models, demand, replicasElsewhere);
  }

  private static int countHeads(
      Collection<ObservedBox> observedBoxes, Predicate<FleetBox> isCounted) {
    return (int) observedBoxes.stream().map(ObservedBox::box).filter(isCounted).count();
  }

  /**
   * Returns the number of replicas of each model to form.
   *
   * @param boxes the boxes that are free or will be soon, not null
   * @param retained the number of retained replicas of each model in the domain, not null
   */
  Map<String, Integer> fill(Collection<ObservedBox> boxes, Map<String, Integer> retained) {
    int[] best = search(boxes, retained).best();
    Map<String, Integer> formed = new HashMap<>();
    for (int i = 0; i < best.length; i++) {
      if (best[i] > 0) {
        formed.put(models.get(i).name(), best[i]);
      }
    }
    return formed;
  }

  /**
   * Returns the search for the replicas to form.
   *
   * @param boxes the boxes that are free or will be soon, not null
   * @param retained the number of retained replicas of each model in the domain, not null
   */
  PressureSearch search(Collection<ObservedBox> boxes, Map<String, Integer> retained) {
    int[] present =
        models.stream().mapToInt(model -> replicas(model.name(), retained, Map.of())).toArray();
    double[] needed = models.stream().mapToDouble(model -> needed(model.name())).toArray();
    return new PressureSearch(
        BoxGroups.of(boxes, models),
        models,
        (model, count) -> pressure(needed[model], present[model] + count));
  }

  /** Returns the highest pressure of any model with the retained and the newly formed replicas. */
  double highestPressure(Map<String, Integer> retained, Map<String, Integer> formed) {
    return models.stream().mapToDouble(model -> pressure(model, retained, formed)).max().orElse(0);
  }

  /** Returns the pressure of a model with the replicas of the domain, or 0 if it is not wanted. */
  double pressure(@Nullable String name, Map<String, Integer> retained) {
    return models.stream()
        .filter(model -> model.name().equals(name))
        .mapToDouble(model -> pressure(model, retained, Map.of()))
        .findFirst()
        .orElse(0);
  }

  private double pressure(
      ModelShape model, Map<String, Integer> retained, Map<String, Integer> formed) {
    String name = model.name();
    return pressure(needed(name), replicas(name, retained, formed));
  }

  private double pressure(double needed, int replicas) {
    // Only the count of conversions that other domains may make can lead below zero by design.
    boolean isUnserved = demand.strain() == null ? replicas == 0 : replicas <= 0;
    return isUnserved ? Demand.NO_REPLICA_PRESSURE : needed / replicas;
  }

  private int replicas(String model, Map<String, Integer> retained, Map<String, Integer> formed) {
    int here = retained.getOrDefault(model, 0) + formed.getOrDefault(model, 0);
    return replicasElsewhere.getOrDefault(model, 0) + here;
  }

  /**
   * Returns the needed replicas of a model, or the open requests divided by the slots of a replica.
   */
  double needed(String model) {
    Demand.Strain strain = demand.strain();
    if (strain != null) {
      return strain.needed(model);
    }
    int now = demand.replicaCount(model);
    return now == 0 ? ASSUMED_OPEN_REPLICAS : demand.pressure(model) * now;
  }

  /** Returns the same packing with the models under their highest recent load, if it is known. */
  DomainPacking atPeakOf(Set<String> peakModels) {
    Demand.Strain strain = demand.strain();
    if (strain == null) {
      return this;
    }
    Demand atPeak =
        new Demand(
            demand.pressures(),
            demand.replicas(),
            demand.hasTraffic(),
            strain.atPeakOf(peakModels));
    return new DomainPacking(models, atPeak, replicasElsewhere);
  }

  /** Returns the models that the boxes can serve. */
  List<ModelShape> models() {
    return models;
  }

  /** Returns the needs while requests are refused or late, otherwise null. */
  Demand.@Nullable Strain strain() {
    return demand.strain();
  }

  /** Returns the model with the highest pressure, or null if there are no models. */
  @Nullable String highestPressureModel(
      Map<String, Integer> retained, Map<String, Integer> formed) {
    return models.stream()
        .max(Comparator.comparingDouble(model -> pressure(model, retained, formed)))
        .map(ModelShape::name)
        .orElse(null);
  }
}
