package org.shoreroad.fleet;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Load of the models of a service, over all domains and processes. The pressure of a model is the
 * number of requests open at its replicas, divided by the number of their slots.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param pressures the pressure of each model
 * @param replicas the number of replicas of each model that take requests
 * @param hasTraffic true once a request was observed; loads before the first one are fast
 * @since 0.2
 */
public record Demand(
    Map<String, Double> pressures, Map<String, Integer> replicas, boolean hasTraffic) {
  /** Pressure of a model without replicas: higher than that of any model with one. */
  public static final double NO_REPLICA_PRESSURE = 1_000;

  /** Demand before the first request. */
  public static final Demand NONE = new Demand(Map.of(), Map.of(), false);

  /** Creates a demand with copies of the maps. */
  public Demand {
    pressures = Map.copyOf(pressures);
    replicas = Map.copyOf(replicas);
  }

  /** Returns the pressure of the model, or 0 if unknown. */
  public double pressure(@Nullable String model) {
    return model == null ? 0 : pressures.getOrDefault(model, 0.0);
  }

  /** Returns the number of replicas of the model that take requests, or 0 if unknown. */
  public int replicaCount(String model) {
    return replicas.getOrDefault(model, 0);
  }
}
