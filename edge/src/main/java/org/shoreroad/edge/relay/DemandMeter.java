package org.shoreroad.edge.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.shoreroad.demand.DemandEstimator;
import org.shoreroad.demand.FormingReplicas;
import org.shoreroad.demand.ModelLoad;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.Demand;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.fleet.ModelTraffic;
import org.shoreroad.traffic.UpstreamService;

/**
 * Measures the demand for each model of a service over all processes. Used on the event loop.
 *
 * @since 0.2
 */
public final class DemandMeter {
  /**
   * Slowness up to which a head counts as fast as specified. It occurs by chance, because passes
   * also read prompts.
   */
  private static final double USUAL_SLOWNESS = 1.5;

  /** Maximum age of a measurement that is logged. */
  private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final UpstreamTable table;
  private final TrafficMeter traffic;
  private final LongSupplier clockNanos;
  private final Map<String, DemandEstimator> estimators = new HashMap<>();
  private final Map<String, FormingReplicas> formingByService = new HashMap<>();

  private BooleanSupplier isUneven = () -> true;

  /** Creates a meter that has measured no traffic yet. */
  public DemandMeter(UpstreamTable table, TrafficMeter traffic, LongSupplier clockNanos) {
    this.table = table;
    this.traffic = traffic;
    this.clockNanos = clockNanos;
  }

  /**
   * Sets the condition under which refused and late requests count. Without them, the demand
   * follows from the open requests alone.
   *
   * @param newIsUneven returns true while callers compete for room or demand is uneven, not null
   */
  public void setUnevenCheck(BooleanSupplier newIsUneven) {
    isUneven = newIsUneven;
  }

  /**
   * Returns the demand for the models of the service; see {@link DemandEstimator}. A model without
   * a replica has {@link Demand#NO_REPLICA_PRESSURE}, more than any model with a replica.
   */
  public Demand demand(UpstreamService service) {
    EngineSpec engine = service.engine();
    if (engine == null) {
      return Demand.NONE;
    }
    long nowNanos = clockNanos.getAsLong();
    FormingReplicas forming =
        formingByService.computeIfAbsent(service.name(), name -> new FormingReplicas());
    forming.update(table.heads(service), nowNanos);
    Map<String, ModelLoad> loads = new HashMap<>();
    for (ModelShape model : engine.models()) {
      loads.put(model.name(), load(service, model.name(), forming.count(model.name(), nowNanos)));
    }
    return estimators
        .computeIfAbsent(service.name(), name -> new DemandEstimator())
        .update(engine, loads, nowNanos);
  }

  private ModelLoad load(UpstreamService service, String model, int forming) {
    long nowNanos = clockNanos.getAsLong();
    List<FleetBox> heads = table.candidates(service, model);
    int open = 0;
    double capacity = 0;
    for (FleetBox head : heads) {
      UpstreamLoad load = table.loadOf(head.id());
      open += load.openCount();
      capacity += Math.min(1, USUAL_SLOWNESS / load.pace().slowness(nowNanos));
    }
    ModelTraffic counts = traffic.total(service.name(), model);
    boolean isCounted = isUneven.getAsBoolean();
    return new ModelLoad(
        heads.size(),
        forming,
        capacity,
        open,
        counts.arrived(),
        isCounted ? counts.refused() : 0,
        isCounted ? counts.late() : 0,
        counts.promptTokens());
  }

  /**
   * Logs the demand for each model of the service as this process has last measured it; only
   * processes that form replicas do.
   */
  public void summarize(UpstreamService service, EventLog log) {
    DemandEstimator estimator = estimators.get(service.name());
    if (estimator == null || !estimator.isUpdatedSince(clockNanos.getAsLong() - RECENT_NANOS)) {
      return;
    }
    for (DemandEstimator.ModelReport report : estimator.reports()) {
      log.write(
          "model_demand",
          "model",
          report.model(),
          "arrived",
          report.load().arrived(),
          "refused",
          report.load().refused(),
          "late",
          report.load().late(),
          "promptTokens",
          report.load().promptTokens(),
          "replicas",
          report.load().replicas(),
          "forming",
          report.load().forming(),
          "capacity",
          hundredths(report.load().capacity()),
          "slotsNeeded",
          hundredths(report.neededSlots()),
          "readersNeeded",
          hundredths(report.neededReaders()),
          "trend",
          hundredths(report.trendFactor()),
          "pressure",
          hundredths(report.pressure()),
          "isStrained",
          report.isStrained());
    }
  }

  private static double hundredths(double value) {
    return Math.round(value * 100) / 100.0;
  }
}
