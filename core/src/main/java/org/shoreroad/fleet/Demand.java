package org.shoreroad.fleet;

import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * How pressed the models of a service are, over all domains and processes.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param pressures the requests open at each model's replicas, for each of their places
 * @param replicas the replicas of each model that take requests
 * @param hasTraffic true once a request was seen: loads before the first are quick
 * @since 0.2
 */
public record Demand(
    Map<String, Double> pressures, Map<String, Integer> replicas, boolean hasTraffic) {
  /** The pressure of a model without any replica: more than any that has one. */
  public static final double NO_REPLICA_PRESSURE = 1_000;

  /** Nothing asked for yet. */
  public static final Demand NONE = new Demand(Map.of(), Map.of(), false);

  /** Copies the maps. */
  public Demand {
    pressures = Map.copyOf(pressures);
    replicas = Map.copyOf(replicas);
  }

  /** Returns the requests open at the model's replicas for each of their places, 0 if unknown. */
  public double pressure(@Nullable String model) {
    return model == null ? 0 : pressures.getOrDefault(model, 0.0);
  }

  /** Returns the replicas of the model that take requests, 0 if unknown. */
  public int replicaCount(String model) {
    return replicas.getOrDefault(model, 0);
  }
}
