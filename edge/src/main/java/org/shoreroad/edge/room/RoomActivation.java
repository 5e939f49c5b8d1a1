package org.shoreroad.edge.room;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import org.shoreroad.demand.DemandSwing;
import org.shoreroad.traffic.UpstreamService;

/**
 * Decides whether room is shared now. Each process decides on the same counts of requests, which
 * heartbeats carry, so that all begin within a few heartbeats of each other. Used on the event
 * loop.
 *
 * @since 0.2
 */
public final class RoomActivation {
  private final RoomMode mode;
  private final Supplier<Collection<UpstreamService>> services;
  private final ToIntFunction<UpstreamService> arrivals;
  private final LongSupplier clockNanos;
  private final Map<String, DemandSwing> swings = new HashMap<>();

  /**
   * Creates an instance that has observed no demand.
   *
   * @param services returns the services of the configuration in force, not null
   * @param arrivals returns the requests for a service within the last second, in all processes
   */
  public RoomActivation(
      RoomMode mode,
      Supplier<Collection<UpstreamService>> services,
      ToIntFunction<UpstreamService> arrivals,
      LongSupplier clockNanos) {
    this.mode = mode;
    this.services = services;
    this.arrivals = arrivals;
    this.clockNanos = clockNanos;
  }

  /** Records the demand of the last second; called once a second. */
  void sample() {
    if (mode != RoomMode.WHILE_UNEVEN) {
      return;
    }
    Set<String> declared = new HashSet<>();
    for (UpstreamService service : services.get()) {
      if (service.engine() != null) {
        declared.add(service.name());
        swings
            .computeIfAbsent(service.name(), name -> new DemandSwing())
            .record(arrivals.applyAsInt(service), clockNanos.getAsLong());
      }
    }
    swings.keySet().retainAll(declared);
  }

  /** Returns true if room is shared now. */
  public boolean isActive() {
    if (mode != RoomMode.WHILE_UNEVEN) {
      return mode == RoomMode.ALWAYS;
    }
    long nowNanos = clockNanos.getAsLong();
    return swings.values().stream().anyMatch(swing -> swing.isUneven(nowNanos));
  }
}
