package org.shoreroad.edge.relay;

import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.stream.Stream;
import org.shoreroad.demand.TrafficWindow;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.peer.HeartbeatAdditions;
import org.shoreroad.fleet.ModelTraffic;
import org.shoreroad.traffic.UpstreamService;

/**
 * Counts of the requests for each model within a second, of this process and of all others.
 *
 * <p>The counts of a process are in its heartbeats, so they expire with them. Used on the event
 * loop.
 *
 * @since 0.2
 */
public final class TrafficMeter {
  private final LongSupplier clockNanos;
  private final String zone;
  private final RelayCounters counters;
  private final TrafficWindow own = new TrafficWindow();
  private List<Heartbeat> peerHeartbeats = List.of();

  /**
   * Creates a meter that has counted no requests.
   *
   * @param clockNanos the steady clock, not null
   * @param zone the availability zone of this process, not null
   * @param counters the counters of this process, not null
   */
  public TrafficMeter(LongSupplier clockNanos, String zone, RelayCounters counters) {
    this.clockNanos = clockNanos;
    this.zone = zone;
    this.counters = counters;
  }

  void recordArrival(String service, String model, long promptTokens) {
    counters.count("shoreroad.models.arrived", model);
    own.recordArrival(service, model, promptTokens, clockNanos.getAsLong());
  }

  void recordRefusal(String service, String model) {
    counters.count("shoreroad.models.refused", model);
    own.recordRefusal(service, model, clockNanos.getAsLong());
  }

  void recordLate(String service, String model) {
    counters.count("shoreroad.models.late", model);
    own.recordLate(service, model, clockNanos.getAsLong());
  }

  /** Returns the additions with the counts of this process. */
  public HeartbeatAdditions contribute(HeartbeatAdditions additions) {
    return additions.withTraffic(own.traffic(zone, clockNanos.getAsLong()));
  }

  /**
   * Replaces the heartbeats of all other processes.
   *
   * @param newest heartbeats that together cover all other processes once, not null
   */
  public void setPeerHeartbeats(Collection<Heartbeat> newest) {
    peerHeartbeats = List.copyOf(newest);
  }

  /** Returns the number of requests for all models of a service, in all processes. */
  public int arrived(UpstreamService service) {
    return service.engine() == null
        ? 0
        : service.engine().models().stream()
            .mapToInt(model -> total(service.name(), model.name()).arrived())
            .sum();
  }

  /** Returns the number of requests for all models in this process within the last second. */
  public int ownArrived() {
    return sumOfArrived(own.traffic(zone, clockNanos.getAsLong()));
  }

  /** Returns the number of requests for all models in the other processes within a second. */
  public int othersArrived() {
    return peerHeartbeats.stream()
        .mapToInt(heartbeat -> sumOfArrived(heartbeat.additions().traffic()))
        .sum();
  }

  /** Returns the number of other processes whose requests are known. */
  public int otherProcesses() {
    return peerHeartbeats.stream().mapToInt(Heartbeat::processes).sum();
  }

  private static int sumOfArrived(Collection<ModelTraffic> traffic) {
    return traffic.stream().mapToInt(ModelTraffic::arrived).sum();
  }

  /** Returns the counts of all processes and availability zones for the model. */
  ModelTraffic total(String service, String model) {
    Stream<ModelTraffic> ofOwn = own.traffic(zone, clockNanos.getAsLong()).stream();
    Stream<ModelTraffic> ofPeers =
        peerHeartbeats.stream().flatMap(heartbeat -> heartbeat.additions().traffic().stream());
    return Stream.concat(ofOwn, ofPeers)
        .filter(one -> one.service().equals(service) && one.model().equals(model))
        .reduce(new ModelTraffic(service, model, zone, 0, 0, 0, 0), ModelTraffic::plus);
  }
}
