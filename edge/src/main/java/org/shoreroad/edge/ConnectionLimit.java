package org.shoreroad.edge;

import java.util.function.LongSupplier;
import org.shoreroad.admission.ConnectionAllowance;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.relay.TrafficMeter;

/**
 * Limit on the new connections of callers while this process receives far more requests than the
 * others. Not thread-safe: used on the event loop.
 */
final class ConnectionLimit {
  private final ConnectionAllowance allowance = new ConnectionAllowance();
  private final TrafficMeter traffic;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final EdgeMetrics metrics;

  /** Creates a limit on the connections that the server accepts. */
  ConnectionLimit(
      CallerServer callers,
      TrafficMeter traffic,
      LongSupplier clockNanos,
      EventLog log,
      EdgeMetrics metrics) {
    this.traffic = traffic;
    this.clockNanos = clockNanos;
    this.log = log;
    this.metrics = metrics;
    callers.setAcceptCheck(this::accept);
  }

  private boolean accept() {
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
