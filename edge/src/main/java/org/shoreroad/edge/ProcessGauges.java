package org.shoreroad.edge;

import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.caller.HeldBytes;
import org.shoreroad.edge.peer.PeerMesh;
import org.shoreroad.edge.relay.Backpressure;
import org.shoreroad.edge.relay.Relay;
import org.shoreroad.edge.relay.RequestQuarantine;
import org.shoreroad.edge.sync.StoreEra;

/** Registers the gauges of a process. Not thread-safe: used on the event loop. */
final class ProcessGauges {
  private final EdgeMetrics metrics;

  /** Creates an instance that has registered nothing. */
  ProcessGauges(EdgeMetrics metrics) {
    this.metrics = metrics;
  }

  /** Registers the gauges of requests and of callers' connections. */
  ProcessGauges addCallers(
      Relay relay, RequestQuarantine quarantine, CallerServer callers, HeldBytes heldBytes) {
    metrics.gauge("shoreroad.requests.open", relay::openCount);
    metrics.gauge("shoreroad.requests.accepted", relay::acceptedCount);
    metrics.gauge("shoreroad.requests.in_quarantine", quarantine::quarantinedCount);
    metrics.gauge("shoreroad.parts.in_quarantine", relay.partGuard()::quarantinedCount);
    metrics.gauge("shoreroad.callers.connections", callers::connectionCount);
    metrics.gauge("shoreroad.callers.held_bytes", heldBytes::estimatedBytes);
    return this;
  }

  /** Registers the gauges of upstreams, other processes and the store. */
  ProcessGauges addSystem(
      Backpressure backpressure, PeerMesh mesh, ConfigurationView configuration, StoreEra era) {
    metrics.gauge("shoreroad.upstreams.limited", backpressure::limitedCount);
    metrics.gauge("shoreroad.processes.alive", mesh::aliveCount);
    metrics.gauge("shoreroad.config.age_ms", configuration::configAgeMs);
    metrics.gauge("shoreroad.store.former_era_answers", era::formerAnswers);
    return this;
  }

  /** Registers the gauges of the log and of the event loop. */
  void addProcess(EventLog log, LoopLag lag) {
    metrics.gauge("shoreroad.log.dropped_lines", log::droppedLines);
    metrics.gauge("shoreroad.loop.longest_lag_ms", lag::takeLongestMs);
  }
}
