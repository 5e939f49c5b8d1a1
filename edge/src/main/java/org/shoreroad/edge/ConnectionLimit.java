package org.shoreroad.edge;

import java.util.function.LongSupplier;
import org.shoreroad.admission.ConnectionAllowance;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.relay.TrafficMeter;

/**
 * Limit on the new connections of callers: while this process receives far more requests than the
 * others, and once callers' connections have taken their part of its descriptors. The rest is for
 * connections to upstreams, the store and other processes, without which the requests on open
 * connections would fail. Not thread-safe: used on the event loop.
 */
final class ConnectionLimit {
  /** One descriptor in this many is kept from callers. */
  private static final int DESCRIPTORS_PER_KEPT = 4;

  private final ConnectionAllowance allowance = new ConnectionAllowance();
  private final TrafficMeter traffic;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final EdgeMetrics metrics;
  private final CallerServer callers;
  private final int maxConnections;

  /** Creates a limit on the connections that the server accepts. */
  ConnectionLimit(
      CallerServer callers,
      TrafficMeter traffic,
      LongSupplier clockNanos,
      EventLog log,
      EdgeMetrics metrics) {
    this(callers, traffic, clockNanos, log, metrics, OpenFileLimit.ofProcess());
  }

  /**
   * Creates a limit.
   *
   * @param descriptors the number of descriptors that this process may have
   */
  ConnectionLimit(
      CallerServer callers,
      TrafficMeter traffic,
      LongSupplier clockNanos,
      EventLog log,
      EdgeMetrics metrics,
      int descriptors) {
    this.callers = callers;
    this.maxConnections = descriptors - descriptors / DESCRIPTORS_PER_KEPT;
    log.write("descriptors", "limit", descriptors, "maxCallerConnections", maxConnections);
    this.traffic = traffic;
    this.clockNanos = clockNanos;
    this.log = log;
    this.metrics = metrics;
    callers.setAcceptCheck(this::accept);
  }

  private boolean accept() {
    if (callers.connectionCount() >= maxConnections) {
      metrics.count("shoreroad.connections.closed_unread", "descriptors");
      return false;
    }
    boolean isAccepted = allowance.take(clockNanos.getAsLong());
    if (!isAccepted) {
      metrics.count("shoreroad.connections.closed_unread", "uneven");
    }
    return isAccepted;
  }

  /** Updates the limit by the requests of all processes; to be called several times a second. */
  void update() {
    boolean wasLimited = allowance.isLimited();
    int own = traffic.ownArrived();
    int others = traffic.othersArrived();
    int otherProcesses = traffic.otherProcesses();
    allowance.update(own, others, otherProcesses, clockNanos.getAsLong());
    if (allowance.isLimited() != wasLimited) {
      log.write(
          "connections_limited",
          "isLimited",
          !wasLimited,
          "own",
          own,
          "others",
          others,
          "otherProcesses",
          otherProcesses);
    }
  }
}
