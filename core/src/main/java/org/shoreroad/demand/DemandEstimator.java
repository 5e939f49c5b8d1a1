package org.shoreroad.demand;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.Demand;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;

/**
 * Estimate of the demand for the models of one service.
 *
 * <p>As long as hardly any request is refused or late, the pressure of a model is the number of its
 * open requests divided by its slots. Refused requests are not among the open ones, so a model that
 * refuses most of its callers would seem no busier than one that just serves all. While any model
 * of a service with several models is strained, the pressures are therefore the needed replicas
 * divided by the present ones, which can be above 1. Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class DemandEstimator {
  /**
   * Time for which a service counts as strained after its last strained measurement, so that the
   * pressures do not change back and forth.
   */
  private static final long STRAINED_NANOS = TimeUnit.SECONDS.toNanos(4);

  private final Map<String, ModelEstimate> estimates = new HashMap<>();
  private @Nullable EngineSpec lastSpec;
  private Map<String, ModelLoad> lastLoads = Map.of();
  private Demand lastDemand = Demand.NONE;
  private long updatedNanos = Long.MIN_VALUE / 2;
  private long strainedNanos = Long.MIN_VALUE / 2;
  private boolean hasTraffic;

  /**
   * Adds the loads observed now.
   *
   * @param spec the engines of the service, not null
   * @param loads the load of each model, not null; a model without one counts as idle
   * @param nowNanos the time on the steady clock, in nanoseconds
   * @return the demand
   */
  public Demand update(EngineSpec spec, Map<String, ModelLoad> loads, long nowNanos) {
    Map<String, Double> pressures = new HashMap<>();
    Map<String, Integer> replicas = new HashMap<>();
    for (ModelShape model : spec.models()) {
      ModelLoad load = loadOf(model, loads);
      double slots = (double) load.replicas() * spec.slots();
      pressures.put(model.name(), slots == 0 ? Demand.NO_REPLICA_PRESSURE : load.open() / slots);
      replicas.put(model.name(), load.replicas());
      hasTraffic |= load.open() > 0;
      ModelEstimate estimate = estimates.computeIfAbsent(model.name(), name -> new ModelEstimate());
      estimate.add(load, spec, model, nowNanos);
      // No boxes are planned for a model without a share, whatever is refused.
      if (model.share() > 0 && estimate.isStrained()) {
        strainedNanos = nowNanos;
      }
    }
    estimates.keySet().retainAll(replicas.keySet());
    Demand demand = new Demand(pressures, replicas, hasTraffic);
    if (hasTraffic && isStrained(spec, nowNanos)) {
      demand = strained(spec, loads, demand);
    }
    lastSpec = spec;
    lastLoads = Map.copyOf(loads);
    lastDemand = demand;
    updatedNanos = nowNanos;
    return demand;
  }

  /** Returns true if requests for a model were refused or late, and boxes can change the model. */
  private boolean isStrained(EngineSpec spec, long nowNanos) {
    long sharing = spec.models().stream().filter(model -> model.share() > 0).count();
    return sharing > 1 && nowNanos - strainedNanos < STRAINED_NANOS;
  }

  private Demand strained(EngineSpec spec, Map<String, ModelLoad> loads, Demand calm) {
    Map<String, Double> pressures = new HashMap<>(calm.pressures());
    Map<String, Double> needed = new HashMap<>();
    Map<String, Integer> forming = new HashMap<>();
    Map<String, Double> peaks = new HashMap<>();
    Map<String, Double> rises = new HashMap<>();
    for (ModelShape model : spec.models()) {
      String name = model.name();
      ModelLoad load = loadOf(model, loads);
      ModelEstimate estimate = estimates.get(name);
      double need = estimate.neededReplicas(spec, model);
      if (load.replicas() > 0 && load.capacity() > 0) {
        // Slow replicas serve less, so more of them are needed.
        need *= load.replicas() / load.capacity();
        pressures.merge(name, need / load.replicas(), Math::max);
        need = Math.max(need, pressures.get(name) * load.replicas());
      }
      needed.put(name, need);
      peaks.put(name, Math.max(need, estimate.recentPeak()));
      forming.put(name, load.forming());
      if (estimate.isTrendKnown()) {
        rises.put(name, estimate.risePerSecond());
      }
    }
    return new Demand(
        pressures,
        calm.replicas(),
        calm.hasTraffic(),
        new Demand.Strain(needed, peaks, forming, rises));
  }

  private static ModelLoad loadOf(ModelShape model, Map<String, ModelLoad> loads) {
    return loads.getOrDefault(model.name(), new ModelLoad(0, 0, 0, 0, 0, 0, 0, 0));
  }

  /** Returns true if loads were added at the time or later. */
  public boolean isUpdatedSince(long sinceNanos) {
    return updatedNanos >= sinceNanos;
  }

  /** Returns the figures of the last update, one entry for each model. */
  public List<ModelReport> reports() {
    EngineSpec spec = lastSpec;
    List<ModelReport> reports = new ArrayList<>();
    if (spec == null) {
      return reports;
    }
    for (ModelShape model : spec.models()) {
      ModelEstimate estimate = estimates.get(model.name());
      reports.add(
          new ModelReport(
              model.name(),
              loadOf(model, lastLoads),
              estimate.neededSlots(),
              estimate.neededReaders(spec, model),
              estimate.trendFactor(),
              lastDemand.pressure(model.name()),
              lastDemand.strain() != null));
    }
    return reports;
  }

  /**
   * Figures behind the pressure of one model.
   *
   * @param model the model, not null
   * @param load the observed load, not null
   * @param neededSlots the needed slots, those of refused requests included
   * @param neededReaders the replicas that can read the prompts in time
   * @param trendFactor the factor by which the arrivals are expected to change in a conversion
   * @param pressure the pressure that decides
   * @param isStrained true if the pressure follows from the need
   */
  public record ModelReport(
      String model,
      ModelLoad load,
      double neededSlots,
      double neededReaders,
      double trendFactor,
      double pressure,
      boolean isStrained) {}
}
