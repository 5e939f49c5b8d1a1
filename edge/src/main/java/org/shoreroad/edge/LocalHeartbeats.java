package org.shoreroad.edge;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.UnaryOperator;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.peer.FailureDetector;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.peer.HeartbeatAdditions;
import org.shoreroad.edge.peer.PeerMesh;
import org.shoreroad.edge.relay.Backpressure;
import org.shoreroad.edge.relay.RequestQuarantine;
import org.shoreroad.edge.relay.StallDetector;
import org.shoreroad.edge.relay.UpstreamTable;
import org.shoreroad.edge.replica.ReplicaService;
import org.shoreroad.edge.sync.DomainLeases;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.edge.sync.TopicFollower;
import org.shoreroad.fleet.FleetBox;

/**
 * Source of the heartbeats of this process, and receiver of those of the others. All receivers of
 * one round get the same reports. Not thread-safe: used on the event loop.
 */
final class LocalHeartbeats implements PeerMesh.HeartbeatSource {
  private final LongSupplier clockNanos;
  private final ConfigurationView configuration;
  private final Fleet fleet;
  private final TopicFollower listFollower;
  private final UpstreamTable upstreams;
  private final StallDetector stalls;
  private final FailureDetector failureDetector;
  private final RequestQuarantine quarantine;
  private final Backpressure backpressure;
  private final List<Consumer<Heartbeat>> listeners = new ArrayList<>();
  private final List<UnaryOperator<HeartbeatAdditions>> contributors = new ArrayList<>();
  private @Nullable PeerMesh mesh;
  private @Nullable DomainLeases leases;
  private @Nullable ReplicaService replicas;
  private List<FleetBox> reports = List.of();

  /** Creates a source; {@link #connect} completes it before its first use. */
  LocalHeartbeats(
      LongSupplier clockNanos,
      ConfigurationView configuration,
      Fleet fleet,
      TopicFollower listFollower,
      UpstreamTable upstreams,
      StallDetector stalls,
      FailureDetector failureDetector,
      RequestQuarantine quarantine,
      Backpressure backpressure) {
    this.clockNanos = clockNanos;
    this.configuration = configuration;
    this.fleet = fleet;
    this.listFollower = listFollower;
    this.upstreams = upstreams;
    this.stalls = stalls;
    this.failureDetector = failureDetector;
    this.quarantine = quarantine;
    this.backpressure = backpressure;
  }

  /** Sets the parts that are created with this source. */
  void connect(PeerMesh newMesh, DomainLeases newLeases, ReplicaService newReplicas) {
    mesh = newMesh;
    leases = newLeases;
    replicas = newReplicas;
  }

  /** Adds a function that adds its part to the additions of each heartbeat. */
  void addContributor(UnaryOperator<HeartbeatAdditions> contributor) {
    contributors.add(contributor);
  }

  /** Adds a listener that is called with each received heartbeat after it was applied. */
  void addListener(Consumer<Heartbeat> listener) {
    listeners.add(listener);
  }

  @Override
  public Heartbeat make(String sender, long sentNanos) {
    return new Heartbeat(
        sender,
        sentNanos,
        0,
        Heartbeat.Scope.SELF,
        1,
        configuration.next(),
        configuration.version(),
        configuration.configAgeNanos(),
        upstreams.ownLoads(),
        stalls.ownSuspectedIds(),
        failureDetector.questions(),
        replicas().silentForPeers(),
        Objects.requireNonNull(leases, "leases").grantedDomains(),
        reports,
        ListUpdate.readTo(listFollower.next()),
        quarantine.reports(),
        backpressure.reports(),
        additions());
  }

  private HeartbeatAdditions additions() {
    HeartbeatAdditions additions = HeartbeatAdditions.NONE;
    for (UnaryOperator<HeartbeatAdditions> contributor : contributors) {
      additions = contributor.apply(additions);
    }
    return additions;
  }

  @Override
  public ListUpdate listSince(StorePosition position) {
    List<StoreRecord> records = fleet.recentChanges().since(position);
    if (records == null || !listFollower.isCurrent()) {
      // The position shows the receiver a new era.
      return ListUpdate.readTo(listFollower.next());
    }
    return new ListUpdate(
        position,
        listFollower.next(),
        clockNanos.getAsLong() - listFollower.provenNanos(),
        listFollower.reachableForNanos(),
        records);
  }

  @Override
  public void onSent() {
    reports = replicas().takeReports();
  }

  /** Applies a received heartbeat. */
  void apply(Heartbeat heartbeat) {
    PeerMesh peers = Objects.requireNonNull(mesh, "mesh");
    configuration.applyHeartbeat(heartbeat);
    failureDetector.applyHeartbeat(heartbeat);
    ListUpdate update = heartbeat.listUpdate();
    listFollower.noteEra(update.end().era());
    if (update.hasProof() && !peers.isReader()) {
      listFollower.applyPeerUpdate(update, heartbeat.echoNanos() - update.ageNanos());
    }
    heartbeat.reports().forEach(fleet::updateByPeer);
    quarantine.applyReports(heartbeat.crashReports());
    if (backpressure.applyReports(heartbeat.limitReports())) {
      peers.sendSoonIfHub();
    }
    applySuspicions(heartbeat.suspectedUpstreams());
    listeners.forEach(listener -> listener.accept(heartbeat));
  }

  /** Applies the suspicions of a peer; returns true if one of them is new. */
  boolean applySuspicions(Set<String> heads) {
    boolean isNew = stalls.suspectByPeer(heads);
    if (isNew) {
      replicas().scheduleReconcile();
    }
    return isNew;
  }

  private ReplicaService replicas() {
    return Objects.requireNonNull(replicas, "replicas");
  }
}
