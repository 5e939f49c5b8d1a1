package org.shoreroad.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Prefetch of weights to the hosts of a domain. Few loads run at a time, because concurrent loads
 * slow each other down. Used by one thread.
 */
final class WeightPrefetch {
  /** Of the loads that run at full speed at a time, a domain takes this part. */
  private static final int USUAL_DIVISOR = 4;

  /** The part that it takes while none of its replicas stands, or before the first request. */
  private static final int URGENT_DIVISOR = 2;

  /** A load that has not shown after this many times its length is taken as lost. */
  private static final double LOST_AFTER_LENGTHS = 2;

  private final Map<String, Staging> running = new HashMap<>();
  private int atOnce;

  /** Forgets what has ended and sets how many may run. */
  void update(
      EngineSpec spec, Map<String, ObservedBox> observedById, boolean isUrgent, long nowNanos) {
    atOnce = Math.max(1, spec.loadsAtOnce() / (isUrgent ? URGENT_DIVISOR : USUAL_DIVISOR));
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

  /** Returns true if the load may begin now, and counts it. */
  boolean tryBegin(ObservedBox observed, ModelShape model, long nowNanos) {
    String id = observed.box().id();
    if (running.size() >= atOnce || running.containsKey(id) || !observed.isCold(model)) {
      return false;
    }
    running.put(id, new Staging(model, nowNanos));
    return true;
  }

  /** Forgets the load to a host that has started again. */
  void forget(String boxId) {
    running.remove(boxId);
  }

  /** A load to a host. */
  private record Staging(ModelShape model, long sinceNanos) {
    /** Returns true if it has shown, or has taken so long that it must be lost. */
    boolean isOver(ObservedBox observed, long nowNanos) {
      double limitNanos = LOST_AFTER_LENGTHS * model.loadSeconds() * 1e9;
      return !observed.isCold(model) || nowNanos - sinceNanos > limitNanos;
    }
  }
}
