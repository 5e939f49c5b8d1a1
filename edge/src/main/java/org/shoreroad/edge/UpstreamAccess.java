package org.shoreroad.edge;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.forward.ForwardClient;
import org.shoreroad.edge.forward.ForwardServer;
import org.shoreroad.edge.forward.ProbeOutcome;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.http.UpstreamCalls;
import org.shoreroad.edge.path.DirectCalls;
import org.shoreroad.edge.path.RoutedCalls;
import org.shoreroad.edge.path.UpstreamEndCheck;
import org.shoreroad.edge.path.UpstreamPaths;
import org.shoreroad.edge.peer.PeerMesh;
import org.shoreroad.edge.relay.EndCheck;
import org.shoreroad.edge.relay.Relay;
import org.shoreroad.edge.relay.StallDetector;
import org.shoreroad.edge.relay.UpstreamSelector;
import org.shoreroad.edge.relay.UpstreamTable;
import org.shoreroad.edge.replica.ReplicaService;
import org.shoreroad.edge.replica.UnreachedBoxes;
import org.shoreroad.edge.sync.DomainIndex;
import org.shoreroad.edge.sync.DomainLeases;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.FleetBox;

/**
 * Access of the process to the upstreams: directly, or through another process while it has no
 * path. Creates and connects the parts for it. Not thread-safe: used on the event loop.
 */
final class UpstreamAccess {
  /** Time without a path to the boxes of a domain after which its lease is released. */
  private static final long RELEASE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final UpstreamPaths paths;
  private final ForwardClient forwards;
  private final ForwardServer forwardServer;
  private final RoutedCalls calls;
  private final EndCheck endCheck;
  private final Fleet fleet;
  private final Supplier<Map<String, String>> peers;

  /**
   * Creates the parts.
   *
   * @param ports the interfaces to the platform, not null
   * @param calls the HTTP client, not null
   * @param peers supplies the addresses of the other processes that seem alive by name, not null
   */
  UpstreamAccess(
      EventLoop loop,
      LongSupplier clockNanos,
      SplittableRandom random,
      EventLog log,
      EdgeMetrics metrics,
      EdgePorts ports,
      HttpCalls calls,
      Fleet fleet,
      Supplier<Map<String, String>> peers) {
    this.peers = peers;
    this.fleet = fleet;
    RepeatingTimer timer = new RepeatingTimer(loop, log);
    calls.setFaultListener(
        (address, fault) -> {
          metrics.count("shoreroad.answers.malformed", fault.code());
          log.write("answer_malformed", "address", address, "fault", fault.code());
        });
    this.paths =
        new UpstreamPaths(calls, clockNanos, random.split(), log, metrics, timer, fleet::boxes);
    this.forwards = new ForwardClient(loop, clockNanos, random.split(), log, metrics, peers);
    this.endCheck =
        new UpstreamEndCheck(calls, paths, forwards, clockNanos, this::isReplaced, this::isLeaving);
    DirectCalls direct = new DirectCalls(calls, paths, clockNanos);
    this.calls = new RoutedCalls(direct, forwards);
    this.forwardServer =
        new ForwardServer(
            timer, metrics, ports.headers(), direct, calls, paths, clockNanos, fleet::find);
    metrics.gauge("shoreroad.paths.services_lost", paths::lostServices);
    metrics.gauge("shoreroad.calls.for_others_open", forwardServer::openCount);
  }

  /** Returns the client of the upstreams. */
  UpstreamCalls calls() {
    return calls;
  }

  /** Returns the server of the calls for other processes. */
  ForwardServer forwardServer() {
    return forwardServer;
  }

  /**
   * Lets the parts that decide on failures distinguish a lost path from failed upstreams, and
   * counts what is held for other processes with what is held for callers.
   */
  void connect(
      PeerMesh mesh,
      Relay relay,
      UpstreamSelector selector,
      StallDetector stalls,
      UpstreamTable upstreams,
      DomainLeases leases,
      ReplicaService replicas,
      CallerServer callers) {
    mesh.addFrameReceiver(forwardServer);
    forwardServer.setMemoryCheck(callers::addRequestHeld);
    callers.addHeldElsewhere(forwardServer);
    callers.addHeldElsewhere(forwards);
    selector.setPaths(calls::isReachable, calls::isPathLost);
    relay.crashMonitor().setEndCheck(endCheck);
    fleet.addRemovalListener(relay.crashMonitor()::onRemoved);
    paths.setIdleEndListener(relay.crashMonitor()::onIdleConnectionEnded);
    stalls.setPathCheck(paths);
    paths.setLossListener(service -> handleLoss(service, upstreams, replicas));
    leases.setCondition(
        domain -> !paths.isServiceLostFor(DomainIndex.serviceOf(domain), RELEASE_NANOS));
    replicas.setUnreachedBoxes(new Unreached());
  }

  /** Starts the periodic checks. */
  void start() {
    paths.start();
    forwards.start();
  }

  /** Returns true if a later incarnation is listed, or another upstream at the address. */
  private boolean isReplaced(FleetBox box) {
    for (FleetBox listed : fleet.boxes()) {
      boolean isOther = !listed.id().equals(box.id());
      if (isOther ? listed.address().equals(box.address()) : listed.isOtherIncarnationOf(box)) {
        return true;
      }
    }
    return false;
  }

  private boolean isLeaving(FleetBox box) {
    FleetBox listed = fleet.find(box.id());
    return listed != null && listed.isLeaving();
  }

  private void handleLoss(String service, UpstreamTable upstreams, ReplicaService replicas) {
    upstreams.clearExclusions(service);
    replicas.forgetSilence(service);
  }

  /** Explains by the paths why boxes do not answer the owner of their domain. */
  private final class Unreached implements UnreachedBoxes {
    @Override
    public void explainSilence(FleetBox box, long sinceNanos, Consumer<Cause> callback) {
      paths.confirm(
          box.service(),
          sinceNanos,
          isReached -> callback.accept(isReached ? Cause.SILENT : Cause.PATH));
    }

    @Override
    public void explainRefusal(FleetBox box, Consumer<Cause> callback) {
      paths.suspect(box);
      if (peers.get().isEmpty()) {
        callback.accept(Cause.GONE);
      } else {
        forwards.probe(box, outcome -> callback.accept(causeOf(outcome)));
      }
    }

    private static Cause causeOf(ProbeOutcome outcome) {
      return switch (outcome) {
        case REFUSED -> Cause.GONE;
        case CONNECTED -> Cause.PATH;
        default -> Cause.SILENT;
      };
    }
  }
}
