package org.shoreroad.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Load of the models of a service, over all domains and processes. The pressure of a model is the
 * number of requests open at its replicas, divided by the number of their slots. While requests are
 * refused or late, it is the number of replicas that the model needs, divided by that of its
 * replicas, and can be above 1.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param pressures the pressure of each model
 * @param replicas the number of replicas of each model that take requests
 * @param hasTraffic true once a request was observed; loads before the first one are fast
 * @param strain the needs while requests are refused or late, otherwise null
 * @since 0.2
 */
public record Demand(
    Map<String, Double> pressures,
    Map<String, Integer> replicas,
    boolean hasTraffic,
    @Nullable Strain strain) {
  /** Pressure of a model without replicas: higher than that of any model with one. */
  public static final double NO_REPLICA_PRESSURE = 1_000;

  /** Demand before the first request. */
  public static final Demand NONE = new Demand(Map.of(), Map.of(), false);

  /** Creates a demand with copies of the maps. */
  public Demand {
    pressures = Map.copyOf(pressures);
    replicas = Map.copyOf(replicas);
  }

  /** Creates a demand while hardly any request is refused or late. */
  public Demand(Map<String, Double> pressures, Map<String, Integer> replicas, boolean hasTraffic) {
    this(pressures, replicas, hasTraffic, null);
  }

  /** Returns the pressure of the model, or 0 if unknown. */
  public double pressure(@Nullable String model) {
    return model == null ? 0 : pressures.getOrDefault(model, 0.0);
  }

  /** Returns the number of replicas of the model that take requests, or 0 if unknown. */
  public int replicaCount(String model) {
    return replicas.getOrDefault(model, 0);
  }

  /**
   * Needs of the models while requests are refused or late.
   *
   * @param needed the number of replicas that each model needs
   * @param peaks the highest number that each model needed within the last seconds
   * @param forming the number of replicas of each model that are being formed, in all domains
   * @param rises the relative change of the arrivals of each model in one second, without those of
   *     which it is not known yet
   */
  public record Strain(
      Map<String, Double> needed,
      Map<String, Double> peaks,
      Map<String, Integer> forming,
      Map<String, Double> rises) {
    /** Creates a strain with copies of the maps. */
    public Strain {
      needed = Map.copyOf(needed);
      peaks = Map.copyOf(peaks);
      forming = Map.copyOf(forming);
      rises = Map.copyOf(rises);
    }

    /** Returns the number of replicas that the model needs, or 0 if unknown. */
    public double needed(String model) {
      return needed.getOrDefault(Objects.requireNonNull(model, "model"), 0.0);
    }

    /** Returns the strain in which the models need as much as at their peaks. */
    Strain atPeakOf(Set<String> models) {
      Map<String, Double> raised = new HashMap<>(needed);
      models.forEach(model -> raised.merge(model, peaks.getOrDefault(model, 0.0), Math::max));
      return new Strain(raised, peaks, forming, rises);
    }

    /** Returns the number of replicas of the model that are being formed, or 0 if unknown. */
    public int formingCount(String model) {
      return forming.getOrDefault(model, 0);
    }

    /**
     * Returns the relative change of the arrivals of the model in one second, or null if unknown.
     */
    public @Nullable Double risePerSecond(String model) {
      return rises.get(model);
    }
  }
}
