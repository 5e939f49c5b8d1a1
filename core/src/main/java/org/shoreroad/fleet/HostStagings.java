package org.shoreroad.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * The loads to hosts that a keeper has ordered, few at a time, since loads slow each other down;
 * for one thread.
 */
final class HostStagings {
  /** Of the loads that run at full speed at a time, a domain takes this part. */
  private static final int USUAL_DIVISOR = 4;

  /** The part that it takes while none of its replicas stands, or before the first request. */
  private static final int URGENT_DIVISOR = 2;

  /** A load that has not shown after this many times its length is taken as lost. */
  private static final double LOST_AFTER_LENGTHS = 2;

  private final Map<String, Staging> running = new HashMap<>();
  private int atOnce;

  /** Forgets what has ended and sets how many may run. */
  void begin(EngineSpec spec, Map<String, BoxSight> sightsById, boolean isUrgent, long nowNanos) {
    atOnce = Math.max(1, spec.loadsAtOnce() / (isUrgent ? URGENT_DIVISOR : USUAL_DIVISOR));
    running
        .entrySet()
        .removeIf(
            entry -> {
              BoxSight sight = sightsById.get(entry.getKey());
              return sight == null || !sight.isFit() || entry.getValue().isOver(sight, nowNanos);
            });
  }

  /** Returns true if the load may begin now, and counts it. */
  boolean tryBegin(BoxSight sight, ModelShape model, long nowNanos) {
    String id = sight.box().id();
    if (running.size() >= atOnce || running.containsKey(id) || !sight.isCold(model)) {
      return false;
    }
    running.put(id, new Staging(model, nowNanos));
    return true;
  }

  /** A load to a host. */
  private record Staging(ModelShape model, long sinceNanos) {
    /** Returns true if it has shown, or has taken so long that it must be lost. */
    boolean isOver(BoxSight sight, long nowNanos) {
      double limitNanos = LOST_AFTER_LENGTHS * model.loadSeconds() * 1e9;
      return !sight.isCold(model) || nowNanos - sinceNanos > limitNanos;
    }
  }
}
