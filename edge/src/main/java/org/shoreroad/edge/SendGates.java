package org.shoreroad.edge;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.LongSupplier;
import org.shoreroad.edge.peer.HeartbeatAdditions;
import org.shoreroad.edge.peer.HeartbeatAdditions.Evacuation;
import org.shoreroad.edge.relay.Backpressure;
import org.shoreroad.edge.relay.ColdGate;
import org.shoreroad.edge.relay.UpstreamTable;
import org.shoreroad.edge.relay.ZoneGate;
import org.shoreroad.edge.sync.EntryDecoder;
import org.shoreroad.edge.sync.Evacuations;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.edge.sync.TopicFollower;
import org.shoreroad.edge.sync.UnusableEntryException;

/**
 * Connects the gates for cold upstreams and evacuated zones to their sources: records of the store
 * and heartbeats. Not thread-safe: used on the event loop.
 */
final class SendGates implements TopicFollower.Listener {
  /** Separator between the name of a node and the number of its incarnation. */
  private static final char INCARNATION_SEPARATOR = '~';

  private final Fleet fleet;
  private final EntryDecoder decoder;
  private final Evacuations evacuations;
  private final ColdGate coldGate;
  private final ZoneGate zoneGate;

  /**
   * Creates gates that let everything pass.
   *
   * @param process the name of this process, not null
   * @param decoder the decoder of the list entries, not null
   */
  SendGates(
      String process,
      Fleet fleet,
      EntryDecoder decoder,
      ConfigurationView configuration,
      LongSupplier clockNanos,
      EventLog log,
      EdgeMetrics metrics) {
    this.fleet = fleet;
    this.decoder = decoder;
    this.evacuations = new Evacuations(log);
    this.coldGate =
        new ColdGate(nodeOf(process), fleet, configuration::config, clockNanos, log, metrics);
    this.zoneGate = new ZoneGate(fleet, evacuations);
    configuration.setEvacuations(evacuations);
    evacuations.setZoneCheck(
        zone -> fleet.boxes().stream().anyMatch(box -> box.zone().equals(zone)));
    evacuations.addReturnListener(coldGate::onZoneReturned);
    metrics.gauge("shoreroad.upstreams.cold", coldGate::coldCount);
    metrics.gauge("shoreroad.zones.evacuated", evacuations::count);
  }

  /** Connects the gates to the parts that send requests and heartbeats. */
  void connect(UpstreamTable upstreams, Backpressure backpressure, LocalHeartbeats heartbeats) {
    upstreams.setZoneGate(zoneGate);
    backpressure.setGates(coldGate, zoneGate);
    heartbeats.addContributor(this::addTo);
    heartbeats.addListener(heartbeat -> apply(heartbeat.additions()));
  }

  Evacuations evacuations() {
    return evacuations;
  }

  /** Returns the gate for cold upstreams. */
  ColdGate coldGate() {
    return coldGate;
  }

  @Override
  public void onRecord(StoreRecord record) {
    fleet.onRecord(record);
    byte[] value = record.value();
    long remainingMs = value == null ? -1 : decoder.coldRemainingMs(record.key(), value);
    if (value == null || remainingMs < 0) {
      return;
    }
    try {
      coldGate.recordEntry(decoder.decode(record.key(), value).incarnation(), remainingMs);
    } catch (UnusableEntryException e) {
      // The fleet has logged the fault of the entry.
    }
  }

  @Override
  public void onListed(Set<String> keys, StorePosition end) {
    fleet.onListed(keys, end);
  }

  /**
   * Updates the gates; called each tenth of a second.
   *
   * @param processes the names of all other processes, not null
   * @param areProcessesKnown true once the list of the processes was read
   * @param mayObserveStarts see {@link ColdGate#update}
   */
  void update(Set<String> processes, boolean areProcessesKnown, boolean mayObserveStarts) {
    coldGate.update(mayObserveStarts);
    coldGate.setSharers(areProcessesKnown ? nodesOf(processes) : Set.of());
  }

  /** Returns the nodes: their names stay the same when processes restart, unlike those of these. */
  private Set<String> nodesOf(Set<String> processes) {
    Set<String> nodes = new HashSet<>();
    processes.forEach(process -> nodes.add(nodeOf(process)));
    nodes.add(coldGate.self());
    return nodes;
  }

  private static String nodeOf(String process) {
    int index = process.lastIndexOf(INCARNATION_SEPARATOR);
    return index < 0 ? process : process.substring(0, index);
  }

  /** Adds the evacuations and cold upstreams of this process to the additions of a heartbeat. */
  HeartbeatAdditions addTo(HeartbeatAdditions additions) {
    List<Evacuation> known =
        evacuations.states().stream()
            .map(one -> new Evacuation(one.zone(), one.isRequested(), one.position()))
            .toList();
    return additions.withColdReports(List.copyOf(coldGate.reports())).withEvacuations(known);
  }

  /** Applies the evacuations and cold upstreams of another process. */
  void apply(HeartbeatAdditions additions) {
    additions
        .evacuations()
        .forEach(
            one ->
                evacuations.applyReport(
                    new Evacuations.State(one.zone(), one.isRequested(), one.position())));
    coldGate.applyReports(additions.coldReports());
  }
}
