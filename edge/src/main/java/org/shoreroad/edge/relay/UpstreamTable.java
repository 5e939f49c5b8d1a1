package org.shoreroad.edge.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;
import org.shoreroad.traffic.UpstreamService;

/**
 * Table of the upstreams that can take requests, with their loads over all processes.
 *
 * <p>Rebuilt from the fleet when that has changed. Used on the event loop.
 *
 * @since 0.2
 */
public final class UpstreamTable {
  /** Interval at which the members of replicas are looked at while a zone is evacuated. */
  private static final long MEMBERS_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  private final Fleet fleet;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Map<String, UpstreamLoad> loads = new HashMap<>();
  private final Map<String, List<FleetBox>> openHeads = new HashMap<>();
  private final Map<String, List<FleetBox>> plainUpstreams = new HashMap<>();
  private final Set<ReplicaId> servingReplicas = new HashSet<>();
  private final Set<String> evacuatedKeys = new HashSet<>();
  private @Nullable ZoneGate zoneGate;
  private long refreshedChanges = -1;
  private long refreshedZoneChanges;
  private long refreshedNanos;

  /** Creates a table over the fleet. */
  public UpstreamTable(Fleet fleet, LongSupplier clockNanos, EventLog log) {
    this.fleet = fleet;
    this.clockNanos = clockNanos;
    this.log = log;
  }

  /** Sets the gate for upstreams in evacuated zones, which are not offered. */
  public void setZoneGate(ZoneGate gate) {
    zoneGate = gate;
  }

  /** Returns the load of an upstream. */
  UpstreamLoad loadOf(String boxId) {
    return loads.computeIfAbsent(boxId, id -> new UpstreamLoad());
  }

  /** Discards the history of an upstream that is gone or has restarted. */
  public void forget(String id) {
    UpstreamLoad load = loads.get(id);
    if (load != null && load.open().isEmpty()) {
      loads.remove(id);
    } else if (load != null) {
      load.restart(clockNanos.getAsLong());
    }
  }

  /**
   * Lets requests go to the upstreams of a service again that were avoided or suspected, since the
   * path of this process to them has failed and not they.
   */
  public void clearExclusions(String service) {
    for (FleetBox box : fleet.boxes()) {
      UpstreamLoad load = box.service().equals(service) ? loads.get(box.id()) : null;
      if (load != null) {
        load.clearExclusion();
        load.restartSilence(clockNanos.getAsLong());
      }
    }
  }

  /** Returns the load of this process at each upstream where it has open requests. */
  public List<Heartbeat.Load> ownLoads() {
    long nowNanos = clockNanos.getAsLong();
    List<Heartbeat.Load> own = new ArrayList<>();
    loads.forEach(
        (id, load) -> {
          if (load.ownOpenCount() > 0) {
            long ageMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - load.progressNanos());
            own.add(
                new Heartbeat.Load(
                    id,
                    load.ownOpenCount(),
                    load.ownWaitingPromptTokens(),
                    (int) Math.min(Integer.MAX_VALUE, ageMs)));
          }
        });
    return own;
  }

  /** Returns true if another process has reported an open request. */
  public boolean hasPeerLoad() {
    return loads.values().stream().anyMatch(load -> load.openCount() > load.ownOpenCount());
  }

  /**
   * Replaces the loads of all other processes.
   *
   * @param newest the newest heartbeat of each other process, with the time on the steady clock at
   *     which it was received
   */
  public void setPeerLoads(Map<Heartbeat, Long> newest) {
    loads.values().forEach(UpstreamLoad::clearPeerLoads);
    newest.forEach(
        (heartbeat, receivedNanos) -> {
          for (Heartbeat.Load load : heartbeat.loads()) {
            long progressNanos =
                receivedNanos - TimeUnit.MILLISECONDS.toNanos(load.progressAgeMs());
            loadOf(load.upstream())
                .addPeerLoad(load.open(), load.waitingPromptTokens(), progressNanos);
          }
          addPeerGranted(heartbeat);
        });
  }

  /** Adds granted requests, of each report at most its open ones. */
  private void addPeerGranted(Heartbeat heartbeat) {
    Map<String, Integer> granted = heartbeat.additions().grantedOpen();
    if (granted.isEmpty()) {
      return;
    }
    for (Heartbeat.Load load : heartbeat.loads()) {
      int count = Math.min(load.open(), granted.getOrDefault(load.upstream(), 0));
      loadOf(load.upstream()).addPeerGranted(Math.max(0, count));
    }
  }

  /** Returns the upstreams of the model, or of a plain service, in no particular order. */
  List<FleetBox> candidates(UpstreamService service, @Nullable String model) {
    refresh();
    return service.engine() == null
        ? plainUpstreams.getOrDefault(service.name(), List.of())
        : openHeads.getOrDefault(keyOf(service.name(), model), List.of());
  }

  /** Returns true if upstreams of the model, or of a plain service, are left out by evacuation. */
  boolean isEvacuated(UpstreamService service, @Nullable String model) {
    refresh();
    return evacuatedKeys.contains(keyOf(service.name(), service.engine() == null ? null : model));
  }

  private static String keyOf(String service, @Nullable String model) {
    return model == null ? service : service + "/" + model;
  }

  /**
   * Returns the heads of replicas of the service, in any state. Those of evacuated availability
   * zones are left out, since their replicas will serve no requests.
   */
  List<FleetBox> heads(UpstreamService service) {
    return fleet.boxes().stream()
        .filter(box -> box.isHead() && box.service().equals(service.name()))
        .filter(box -> !box.isLeaving() && fleet.isEligible(box.id()))
        .filter(box -> zoneGate == null || !zoneGate.isClosed(box))
        .toList();
  }

  /** Returns a copy, because moving requests to other upstreams changes the loads. */
  List<UpstreamLoad> loadsWithOwnRequests() {
    return loads.values().stream().filter(load -> load.ownOpenCount() > 0).toList();
  }

  /** Rebuilds the lists of upstreams if the fleet has changed. */
  private void refresh() {
    if (isFresh()) {
      return;
    }
    refreshedChanges = fleet.targetChanges();
    refreshedZoneChanges = zoneGate == null ? 0 : zoneGate.changes();
    refreshedNanos = clockNanos.getAsLong();
    evacuatedKeys.clear();
    openHeads.clear();
    plainUpstreams.clear();
    servingReplicas.clear();
    for (FleetBox box : fleet.boxes()) {
      if (box.isLeaving() || !fleet.isEligible(box.id())) {
        continue;
      }
      if (zoneGate != null && zoneGate.isClosed(box)) {
        evacuatedKeys.add(keyOf(box.service(), box.domain() == null ? null : box.model()));
        continue;
      }
      if (box.domain() == null) {
        plainUpstreams.computeIfAbsent(box.service(), name -> new ArrayList<>()).add(box);
      } else if (box.isOpenHead() && box.model() != null) {
        openHeads
            .computeIfAbsent(keyOf(box.service(), box.model()), name -> new ArrayList<>())
            .add(box);
        recordReplica(box);
        servingReplicas.add(box.membership().replica());
      }
    }
    loads.keySet().removeIf(id -> fleet.find(id) == null && loads.get(id).open().isEmpty());
  }

  /**
   * Returns true if nothing has changed. The members of a replica are no part of the changes that
   * the fleet counts, so while a zone is evacuated the lists are rebuilt at an interval as well.
   */
  private boolean isFresh() {
    if (fleet.targetChanges() != refreshedChanges) {
      return false;
    }
    if (zoneGate == null) {
      return true;
    }
    boolean isRecent = clockNanos.getAsLong() - refreshedNanos < MEMBERS_NANOS;
    return zoneGate.changes() == refreshedZoneChanges && (zoneGate.isEmpty() || isRecent);
  }

  private long countListedMembers(ReplicaId replica) {
    return fleet.boxes().stream()
        .filter(box -> box.membership() != null && box.membership().replica().equals(replica))
        .filter(box -> fleet.isListed(box.id()))
        .count();
  }

  private void recordReplica(FleetBox head) {
    Membership membership = head.membership();
    UpstreamLoad load = loadOf(head.id());
    // A new replica with the same head starts without the suspicion of the former one.
    if (membership != null && load.updateReplica(membership.replica(), clockNanos.getAsLong())) {
      log.write(
          "replica_open",
          "replica",
          membership.replica(),
          "head",
          head.id(),
          "members",
          countListedMembers(membership.replica()));
    }
  }

  /** Returns the loads of all upstreams by id, an unmodifiable view. */
  Map<String, UpstreamLoad> loads() {
    return Collections.unmodifiableMap(loads);
  }

  /** Returns true if the head of the replica is open. */
  boolean isServing(ReplicaId replica) {
    refresh();
    return servingReplicas.contains(replica);
  }
}
