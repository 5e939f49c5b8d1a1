package org.shoreroad.edge;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.peer.PeerMesh;
import org.shoreroad.edge.relay.Backpressure;
import org.shoreroad.edge.relay.TrafficMeter;
import org.shoreroad.edge.relay.UpstreamSelector;
import org.shoreroad.edge.relay.UpstreamTable;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.TopicFollower;

/**
 * Update of derived state, run each tenth of a second: the fleet, the number of processes, the
 * loads and the traffic reported by peers, the processes that share the limits of upstreams, the
 * gates for cold upstreams and evacuated zones, and the proof of the configuration after a
 * suspension of the box. Not thread-safe: used on the event loop.
 */
final class PeriodicUpdate {
  private final EventLog log;
  private final EdgeMetrics metrics;
  private final Runnable lagMeasurement;
  private final ElapsedClock elapsed;
  private final ConfigurationView configuration;
  private final TopicFollower configFollower;
  private final Fleet fleet;
  private final TopicFollower listFollower;
  private final PeerMesh mesh;
  private final UpstreamSelector selector;
  private final UpstreamTable upstreams;
  private final TrafficMeter traffic;
  private final Backpressure backpressure;
  private final Runnable gateUpdate;
  private long lastLeadNanos;
  private boolean hasDroppedUndeclared;

  PeriodicUpdate(
      EventLog log,
      EdgeMetrics metrics,
      Runnable lagMeasurement,
      ElapsedClock elapsed,
      ConfigurationView configuration,
      TopicFollower configFollower,
      Fleet fleet,
      TopicFollower listFollower,
      PeerMesh mesh,
      UpstreamSelector selector,
      UpstreamTable upstreams,
      TrafficMeter traffic,
      Backpressure backpressure,
      Runnable gateUpdate) {
    this.log = log;
    this.metrics = metrics;
    this.lagMeasurement = lagMeasurement;
    this.elapsed = elapsed;
    this.configuration = configuration;
    this.configFollower = configFollower;
    this.fleet = fleet;
    this.listFollower = listFollower;
    this.mesh = mesh;
    this.selector = selector;
    this.upstreams = upstreams;
    this.traffic = traffic;
    this.backpressure = backpressure;
    this.gateUpdate = gateUpdate;
  }

  /** Runs the update once. */
  void run() {
    lagMeasurement.run();
    handleSuspension();
    dropUndeclared();
    fleet.reconcile(listFollower.reachableForNanos());
    int processes = mesh.sharingCount();
    configuration.setProcessCount(processes);
    selector.setProcessCount(processes);
    Map<Heartbeat, Long> latest = mesh.latestHeartbeats();
    upstreams.setPeerLoads(latest);
    traffic.setPeerHeartbeats(latest.keySet());
    backpressure.setSharers(mesh.sharers());
    gateUpdate.run();
  }

  /** Renews the proof of the configuration at once if the box may have been suspended. */
  private void handleSuspension() {
    long newLeadNanos = elapsed.totalLeadNanos();
    if (newLeadNanos == lastLeadNanos) {
      return;
    }
    long lengthMs = TimeUnit.NANOSECONDS.toMillis(newLeadNanos - lastLeadNanos);
    lastLeadNanos = newLeadNanos;
    log.write("suspended_or_clock_set", "lengthMs", lengthMs);
    metrics.count("shoreroad.clock.leads", "time_of_day");
    configFollower.renewProof();
  }

  /** Drops the upstreams of undeclared services that were read before the first configuration. */
  private void dropUndeclared() {
    if (!hasDroppedUndeclared && configuration.config() != null) {
      hasDroppedUndeclared = true;
      fleet.dropUndeclared();
    }
  }
}
