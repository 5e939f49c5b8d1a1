package org.shoreroad.edge;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.shoreroad.edge.peer.PeerMesh;
import org.shoreroad.edge.peer.QuarantineFormat;
import org.shoreroad.edge.peer.QuarantineRegistry;
import org.shoreroad.edge.relay.PartGuard;
import org.shoreroad.edge.relay.RequestQuarantine;
import org.shoreroad.edge.sync.Store;
import org.shoreroad.edge.sync.Topic;
import org.shoreroad.quarantine.CrashReport;
import org.shoreroad.quarantine.PartQuarantine;
import org.shoreroad.quarantine.PartReport;
import org.shoreroad.routing.Rendezvous;

/**
 * Connects the quarantines of requests and of prompt parts with the store and the other processes.
 * Not thread-safe: used on the event loop.
 */
final class Quarantines {
  /** Time in which all processes learn of a crash with hubs: three urgent heartbeats. */
  private static final int HUB_SETTLE_MS = 350;

  /**
   * Time from the start to the first trial of a prompt part. Processes that start together do not
   * know each other at once, and each would take itself for the one that tries.
   */
  private static final long TRIAL_DELAY_NANOS = TimeUnit.MINUTES.toNanos(1);

  private final RequestQuarantine requests;
  private final PartGuard parts;
  private final LongSupplier clockNanos;
  private final QuarantineRegistry<CrashReport> requestRegistry;
  private final QuarantineRegistry<PartReport> partRegistry;

  Quarantines(
      RequestQuarantine requests,
      PartGuard parts,
      Store store,
      EventLoop loop,
      LongSupplier clockNanos,
      LongSupplier timeOfDayMs,
      EventLog log) {
    this.requests = requests;
    this.parts = parts;
    this.clockNanos = clockNanos;
    this.requestRegistry =
        new QuarantineRegistry<>(
            QuarantineFormat.REQUESTS, store, loop, timeOfDayMs, log, requests::applyReports);
    this.partRegistry =
        new QuarantineRegistry<>(
            QuarantineFormat.PARTS, store, loop, timeOfDayMs, log, parts::applyReports);
  }

  /** Connects the quarantines with the other processes and the metrics. */
  void connect(String processName, PeerMesh mesh, LocalHeartbeats heartbeats, EdgeMetrics metrics) {
    requestRegistry.setFailureListener(() -> metrics.countFailedRecord(Topic.QUARANTINE));
    partRegistry.setFailureListener(() -> metrics.countFailedRecord(Topic.PART_QUARANTINE));
    requests.setRecorder(requestRegistry::write);
    requests.setChangeListener(mesh::sendSoon);
    parts.setRecorder(partRegistry::write);
    parts.setChangeListener(mesh::sendSoon);
    parts.setSettleMs(
        () -> mesh.isHub() || mesh.isMember() ? HUB_SETTLE_MS : PartQuarantine.DEFAULT_SETTLE_MS);
    long mayTryNanos = clockNanos.getAsLong() + TRIAL_DELAY_NANOS;
    parts.setTrialCheck(
        part ->
            clockNanos.getAsLong() - mayTryNanos > 0
                && Rendezvous.positionOf(processName, part.toString(), mesh.names()) == 0);
    heartbeats.addContributor(additions -> additions.withPartReports(parts.reports()));
    heartbeats.addListener(
        heartbeat -> {
          if (parts.applyReports(heartbeat.additions().partReports())) {
            mesh.sendSoonIfHub();
          }
        });
  }

  /** Reads the quarantines from the store; retries until it answers. */
  void load() {
    requestRegistry.load();
    partRegistry.load();
  }

  /** Writes the quarantines again that the store may have lost in a new era. */
  void writeAgain(long era) {
    requestRegistry.writeAgain(era);
    partRegistry.writeAgain(era);
  }
}
