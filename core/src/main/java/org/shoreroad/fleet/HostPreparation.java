package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;
import org.jspecify.annotations.Nullable;

/**
 * Choice of the weights that the hosts of a domain load in advance. With the weights on its host, a
 * box changes its model in 1 to 2 s instead of 12 to 16 s. Not thread-safe: used by one thread.
 */
final class HostPreparation {
  /**
   * Boxes of small replicas load another model to their hosts if the pressure of their own model is
   * below this, so that at least half of its slots are free.
   */
  private static final double SPARABLE_PRESSURE = 0.5;

  /** A small model is loaded first if its pressure is at least this fraction of the highest one. */
  private static final double SMALL_FIRST_FRACTION = 0.5;

  private final WeightPrefetch prefetch = new WeightPrefetch();

  /**
   * Returns the orders to load weights: while requests are refused or late, first for a replica
   * that lacks few boxes; then for missing replicas, then for free boxes, then for boxes of small
   * replicas.
   *
   * @param view the domain, not null
   * @param spec the engines of the service, not null
   * @param models the wanted models by falling pressure, not null
   * @param demand the load of the models, not null
   * @param surplus returns the number of retained replicas of a model minus the wanted ones, not
   *     null
   * @param isForming true if a replica is being formed, so that boxes in replicas load nothing
   * @param nowNanos the time on the steady clock, in nanoseconds
   */
  List<BoxOrder> prepare(
      DomainView view,
      EngineSpec spec,
      List<ModelShape> models,
      Demand demand,
      ToIntFunction<ModelShape> surplus,
      boolean isForming,
      long nowNanos) {
    List<BoxOrder> orders = new ArrayList<>();
    if (models.isEmpty()) {
      return orders;
    }
    boolean isUrgent =
        view.retained().isEmpty()
            || !demand.hasTraffic()
            || models.stream().anyMatch(model -> demand.replicaCount(model.name()) == 0);
    prefetch.removeEnded(view.observedById(), nowNanos);
    prefetch.setLimit(spec, true);
    ReplicaCompletion completion = completion(view, models, demand);
    if (completion != null) {
      completion.boxes().forEach(observed -> stage(observed, completion.model(), orders, nowNanos));
    }
    prefetch.setLimit(spec, isUrgent);
    for (ModelShape model : models) {
      if (surplus.applyAsInt(model) < 0) {
        view.pickMembers(model).forEach(observed -> stage(observed, model, orders, nowNanos));
      }
    }
    for (ObservedBox observed : view.free()) {
      if (observed.isBlank()) {
        stage(observed, firstToLoad(models, demand), orders, nowNanos);
      } else if (observed.hasRoomOnHost() && !isUrgent) {
        // A spare box with one last model and another one on its host can join either replica.
        stageOther(observed, models, orders, nowNanos);
      }
    }
    if (!isForming && !view.isDissolving()) {
      for (ObservedBox observed : view.observedBoxes()) {
        if (observed.isFit()
            && (!demand.hasTraffic() || isSparable(observed, spec, models, demand))) {
          stageOther(observed, models, orders, nowNanos);
        }
      }
    }
    return orders;
  }

  /** Returns the replica to complete while requests are refused or late, or null for none. */
  private @Nullable ReplicaCompletion completion(
      DomainView view, List<ModelShape> models, Demand demand) {
    return demand.strain() == null || view.isDissolving()
        ? null
        : ReplicaCompletion.choose(view.free(), models, prefetch::isLoading);
  }

  /**
   * Returns the model that boxes without weights load first. This is the one with the smallest
   * replicas, unless the pressure of another is far higher: boxes load one after the other, so a
   * small replica can serve soonest.
   */
  private static ModelShape firstToLoad(List<ModelShape> models, Demand demand) {
    ModelShape highestPressureModel = models.get(0);
    double minPressure = SMALL_FIRST_FRACTION * demand.pressure(highestPressureModel.name());
    return models.stream()
        .filter(model -> demand.pressure(model.name()) >= minPressure)
        .min(Comparator.comparingInt(ModelShape::boxes))
        .orElse(highestPressureModel);
  }

  /**
   * Returns true if the box serves in a replica of the smallest model and the pressure of that
   * model is low, or lower than that of another model whose weights the box lacks.
   */
  private static boolean isSparable(
      ObservedBox observed, EngineSpec spec, List<ModelShape> models, Demand demand) {
    double pressure = demand.pressure(observed.box().model());
    boolean hasLowerPressure =
        models.stream()
            .filter(observed::isCold)
            .findFirst()
            .filter(other -> pressure < demand.pressure(other.name()))
            .isPresent();
    return isSmall(observed.box(), spec) && (pressure < SPARABLE_PRESSURE || hasLowerPressure);
  }

  /** Returns true if the box serves in a replica of the smallest model. */
  private static boolean isSmall(FleetBox box, EngineSpec spec) {
    int smallest = spec.models().stream().mapToInt(ModelShape::boxes).min().orElse(0);
    return spec.findModel(String.valueOf(box.model()))
        .filter(model -> model.boxes() == smallest)
        .isPresent();
  }

  /** Orders the load of the first model whose weights are not available locally. */
  private void stageOther(
      ObservedBox observed, List<ModelShape> models, List<BoxOrder> orders, long nowNanos) {
    models.stream()
        .filter(observed::isCold)
        .findFirst()
        .ifPresent(model -> stage(observed, model, orders, nowNanos));
  }

  private void stage(ObservedBox observed, ModelShape model, List<BoxOrder> orders, long nowNanos) {
    if (prefetch.tryBegin(observed, model, nowNanos)) {
      orders.add(BoxOrder.stage(observed.box().id(), model.name(), "prepares for a loss"));
    }
  }

  /** Removes the load to the host of a box that has restarted. */
  void forget(String boxId) {
    prefetch.forget(boxId);
  }
}
