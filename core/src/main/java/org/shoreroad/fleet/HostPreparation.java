package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Which weights the hosts of a domain's boxes load, so that a box changes models in 1 to 2 seconds
 * in place of 12 to 16. For one thread.
 */
final class HostPreparation {
  /**
   * Hosts of a model's boxes are prepared for another one while this part of its places is free.
   */
  private static final double PREPARING_PRESSURE = 0.5;

  /** A small model is loaded first if it is at least this part as pressed as the most pressed. */
  private static final double LOADING_PRESSURE_PART = 0.5;

  private final WeightPrefetch stagings = new WeightPrefetch();

  /**
   * Returns the loads to order: for what lacks first, then for what is free, then for small
   * replicas.
   *
   * @param view the domain, not null
   * @param spec the engines of the service, not null
   * @param models the models that are wanted, the most pressed first, not null
   * @param demand how pressed they are, not null
   * @param surplus how many replicas of a model stand beyond those wanted, not null
   * @param isChanging true if a replica is being formed, so that small replicas are left alone
   * @param nowNanos the steady clock
   */
  List<BoxOrder> prepare(
      DomainView view,
      EngineSpec spec,
      List<ModelShape> models,
      Demand demand,
      ToIntFunction<ModelShape> surplus,
      boolean isChanging,
      long nowNanos) {
    List<BoxOrder> orders = new ArrayList<>();
    if (models.isEmpty()) {
      return orders;
    }
    boolean isUrgent =
        view.retained().isEmpty()
            || !demand.hasTraffic()
            || models.stream().anyMatch(model -> demand.replicaCount(model.name()) == 0);
    stagings.update(spec, view.observedById(), isUrgent, nowNanos);
    for (ModelShape model : models) {
      if (surplus.applyAsInt(model) < 0) {
        view.pickMembers(model).forEach(observed -> stage(observed, model, orders, nowNanos));
      }
    }
    for (ObservedBox observed : view.free()) {
      if (observed.isBlank()) {
        stage(observed, firstToLoad(models, demand), orders, nowNanos);
      } else if (observed.hasRoomOnHost() && !isUrgent) {
        // A spare that held one model last and has another on its host fits either replica.
        stageOther(observed, models, orders, nowNanos);
      }
    }
    if (!isChanging && !view.isDissolving()) {
      for (ObservedBox observed : view.observedBoxes()) {
        if (observed.isFit()
            && (!demand.hasTraffic() || isSparable(observed, spec, models, demand))) {
          stageOther(observed, models, orders, nowNanos);
        }
      }
    }
    return orders;
  }

  /**
   * Returns the model that boxes without weights load first: the one with the smallest replicas,
   * which can serve soonest as boxes load one after the other, unless another is pressed far more.
   */
  private static ModelShape firstToLoad(List<ModelShape> models, Demand demand) {
    ModelShape pressed = models.get(0);
    double least = LOADING_PRESSURE_PART * demand.pressure(pressed.name());
    return models.stream()
        .filter(model -> demand.pressure(model.name()) >= least)
        .min(Comparator.comparingInt(ModelShape::boxes))
        .orElse(pressed);
  }

  /** Returns true if the box serves in a small replica whose model needs it less than another. */
  private static boolean isSparable(
      ObservedBox observed, EngineSpec spec, List<ModelShape> models, Demand demand) {
    double pressure = demand.pressure(observed.box().model());
    boolean isPressedLess =
        models.stream()
            .filter(observed::isCold)
            .findFirst()
            .filter(other -> pressure < demand.pressure(other.name()))
            .isPresent();
    return isSmall(observed.box(), spec) && (pressure < PREPARING_PRESSURE || isPressedLess);
  }

  /** Returns true if the box serves in a replica of the smallest model. */
  private static boolean isSmall(FleetBox box, EngineSpec spec) {
    int smallest = spec.models().stream().mapToInt(ModelShape::boxes).min().orElse(0);
    return spec.findModel(String.valueOf(box.model()))
        .filter(model -> model.boxes() == smallest)
        .isPresent();
  }

  /** Loads the most pressed model that the box does not have at hand. */
  private void stageOther(
      ObservedBox observed, List<ModelShape> models, List<BoxOrder> orders, long nowNanos) {
    models.stream()
        .filter(observed::isCold)
        .findFirst()
        .ifPresent(model -> stage(observed, model, orders, nowNanos));
  }

  private void stage(ObservedBox observed, ModelShape model, List<BoxOrder> orders, long nowNanos) {
    if (stagings.tryBegin(observed, model, nowNanos)) {
      orders.add(BoxOrder.stage(observed.box().id(), model.name(), "to be at hand for a loss"));
    }
  }

  /** Forgets the load to a host that has started again. */
  void forget(String boxId) {
    stagings.forget(boxId);
  }
}
