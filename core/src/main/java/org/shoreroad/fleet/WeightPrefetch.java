package org.shoreroad.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Prefetch of weights to the hosts of a domain. Few loads run concurrently, because they slow each
 * other down. Not thread-safe: used by one thread.
 */
final class WeightPrefetch {
  /** Divisor of {@link EngineSpec#loadsAtOnce()} that yields the limit of one domain. */
  private static final int NORMAL_DIVISOR = 4;

  /**
   * The same while the domain or a model has no replica, before the first request, and for a
   * replica that lacks few boxes while requests are refused or late.
   */
  private static final int URGENT_DIVISOR = 2;

  /** A load without visible effect after this many load times of its model counts as lost. */
  private static final double LOST_AFTER_LOAD_TIMES = 2;

  private final Map<String, Staging> running = new HashMap<>();
  private int maxConcurrent;

  /** Sets the limit of concurrent loads. */
  void setLimit(EngineSpec spec, boolean isUrgent) {
    maxConcurrent = Math.max(1, spec.loadsAtOnce() / (isUrgent ? URGENT_DIVISOR : NORMAL_DIVISOR));
  }

  /** Removes the loads that have ended. */
  void removeEnded(Map<String, ObservedBox> observedById, long nowNanos) {
    running
        .entrySet()
        .removeIf(
            entry -> {
              ObservedBox observed = observedById.get(entry.getKey());
              return observed == null
                  || !observed.isFit()
                  || entry.getValue().isOver(observed, nowNanos);
            });
  }

  /** Returns true if the load may begin now, and then records it as running. */
  boolean tryBegin(ObservedBox observed, ModelShape model, long nowNanos) {
    String id = observed.box().id();
    if (running.size() >= maxConcurrent || running.containsKey(id) || !observed.isCold(model)) {
      return false;
    }
    running.put(id, new Staging(model, nowNanos));
    return true;
  }

  /** Returns true if the weights of the model are being loaded to the host of the box. */
  boolean isLoading(ObservedBox observed, ModelShape model) {
    Staging staging = running.get(observed.box().id());
    return staging != null && staging.model().equals(model);
  }

  /** Removes the load to the host of a box that has restarted. */
  void forget(String boxId) {
    running.remove(boxId);
  }

  /** A load to a host. */
  private record Staging(ModelShape model, long sinceNanos) {
    /**
     * Returns true if the weights are on the host, or the load has taken so long that it is lost.
     */
    boolean isOver(ObservedBox observed, long nowNanos) {
      double limitNanos = LOST_AFTER_LOAD_TIMES * model.loadSeconds() * 1e9;
      return !observed.isCold(model) || nowNanos - sinceNanos > limitNanos;
    }
  }
}
