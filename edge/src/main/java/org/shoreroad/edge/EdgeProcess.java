package org.shoreroad.edge;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.caller.HeldBytes;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.peer.Announcement;
import org.shoreroad.edge.peer.FailureDetector;
import org.shoreroad.edge.peer.HeartbeatAdditions;
import org.shoreroad.edge.peer.PeerMesh;
import org.shoreroad.edge.peer.ProcessRegistry;
import org.shoreroad.edge.relay.Backpressure;
import org.shoreroad.edge.relay.DemandMeter;
import org.shoreroad.edge.relay.FleetSummary;
import org.shoreroad.edge.relay.HeadViews;
import org.shoreroad.edge.relay.Relay;
import org.shoreroad.edge.relay.RequestQuarantine;
import org.shoreroad.edge.relay.StallDetector;
import org.shoreroad.edge.relay.TrafficMeter;
import org.shoreroad.edge.relay.UpstreamSelector;
import org.shoreroad.edge.relay.UpstreamTable;
import org.shoreroad.edge.replica.ReplicaService;
import org.shoreroad.edge.room.RoomActivation;
import org.shoreroad.edge.room.RoomMode;
import org.shoreroad.edge.room.RoomSharing;
import org.shoreroad.edge.sync.CountedStore;
import org.shoreroad.edge.sync.DomainLeases;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.Topic;
import org.shoreroad.edge.sync.TopicFollower;
import org.shoreroad.member.HubPlan;
import org.shoreroad.traffic.CallerLimits;

/**
 * Process that serves requests: creates, connects, starts and stops its parts.
 *
 * <p>Not thread-safe: all parts run on one event loop, so none needs a lock. Only log lines are
 * written by another thread.
 *
 * @since 0.2
 */
public final class EdgeProcess {
  /** Longest wait of a list read for a change; upstreams write more often. */
  private static final int LIST_WAIT_MS = 200;

  /**
   * Minimum interval between reads of the list, since changes arrive in bursts. Even if one answer
   * is lost, a leaving upstream must be known within two seconds.
   */
  private static final int LIST_INTERVAL_MS = 900;

  /** Longest wait of a process list read; changes are rare, and each empty read has a cost. */
  private static final int PROCESS_WAIT_MS = 15_000;

  /**
   * Longest time for which a member of a hub does not read the process list. Members with lists of
   * different ages choose different hubs, so that a rolling restart would leave more hubs than
   * needed, each with a heartbeat to each other one.
   */
  private static final int MEMBER_PROCESS_PAUSE_MS = 30_000;

  /**
   * Maximum age of the readers' proof before this process reads the upstream list itself. The proof
   * of one reader is at most 1.1 s old, and a leaving upstream must be known within two seconds.
   */
  private static final int PEER_LIST_PROOF_MS = 1_500;

  /**
   * Maximum random delay before a process that detects a new store era, by other calls or from
   * peers, lists configuration and upstreams again. The 600 calls of 300 processes are spread,
   * since the store accepts 2,000 per second. A leaving upstream must be known within two seconds.
   */
  private static final int LISTING_SPREAD_MS = 600;

  /** The same delay for the process list, which is not urgent. */
  private static final int PROCESS_LISTING_SPREAD_MS = 3_000;

  private static final int UPDATE_INTERVAL_MS = 100;
  private static final int SUMMARY_INTERVAL_MS = 2_000;

  private final EdgeSettings settings;
  private final EdgePorts ports;
  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final ElapsedClock elapsed;
  private final EventLog log;
  private final EdgeMetrics metrics = new EdgeMetrics();
  private final SplittableRandom random;
  private final String name;
  private final CountedStore store;
  private final ConfigurationView configuration;
  private final Fleet fleet;
  private final SendGates gates;
  private final TopicFollower configFollower;
  private final TopicFollower listFollower;
  private final ProcessRegistry processes;
  private final TopicFollower processFollower;
  private final DomainLeases leases;
  private final UpstreamTable upstreams;
  private final UpstreamSelector selector;
  private final StallDetector stalls;
  private final TrafficMeter traffic;
  private final DemandMeter demands;
  private final FleetSummary summary;
  private final RequestQuarantine quarantine;
  private final Quarantines quarantines;
  private final Backpressure backpressure;
  private final UpstreamAccess access;
  private final Relay relay;
  private final FailureDetector failureDetector;
  private final LocalHeartbeats heartbeats;
  private final PeerMesh mesh;
  private final ReplicaService replicas;
  private final ConnectionLimit connectionLimit;
  private final HeldBytes heldBytes;
  private final CallerServer callers;
  private final LoopLag lag;
  private final PeriodicUpdate periodicUpdate;
  private final GracefulShutdown shutdown;

  /**
   * Creates a process and its parts.
   *
   * @param settings the settings, not null
   * @param ports the interfaces to the platform, not null
   * @param loop the event loop, not null
   * @param calls the connections to upstreams, not null
   * @param clockNanos the steady clock, not null
   * @param timeOfDayMs the time of day, in milliseconds since 1970, not null
   * @param log the log, not null
   */
  public EdgeProcess(
      EdgeSettings settings,
      EdgePorts ports,
      EventLoop loop,
      HttpCalls calls,
      LongSupplier clockNanos,
      LongSupplier timeOfDayMs,
      EventLog log) {
    this.settings = settings;
    this.ports = ports;
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.elapsed = new ElapsedClock(clockNanos, timeOfDayMs);
    this.log = log;
    this.random = new SplittableRandom();
    this.name = settings.node() + "~" + Long.toHexString(random.nextLong());
    this.store =
        new CountedStore(
            ports.store(),
            ports.leaseStore(),
            kind -> metrics.count("shoreroad.store.calls", kind));
    this.configuration =
        new ConfigurationView(
            ports.configDecoder(),
            clockNanos,
            elapsed,
            log,
            settings.revokeMs(),
            settings.isKeyProofRequired());
    this.fleet = new Fleet(ports.upstreamDecoder(), clockNanos, log);
    this.gates = makeGates();
    this.configFollower = follower(Topic.CONFIGURATION, configWaitMs(), () -> 0, configuration);
    this.listFollower = follower(Topic.UPSTREAMS, LIST_WAIT_MS, () -> LIST_INTERVAL_MS, gates);
    this.upstreams = new UpstreamTable(fleet, clockNanos, log);
    this.backpressure = new Backpressure(name, ports.headers(), clockNanos, log, metrics);
    this.selector =
        new UpstreamSelector(upstreams, backpressure, clockNanos, random, settings.zone());
    this.stalls = new StallDetector(upstreams, clockNanos, log);
    this.traffic = new TrafficMeter(clockNanos, settings.zone(), metrics);
    this.demands = new DemandMeter(upstreams, traffic, clockNanos);
    this.summary = new FleetSummary(fleet, upstreams, demands, log);
    this.quarantine = new RequestQuarantine(clockNanos, log, metrics);
    this.access =
        new UpstreamAccess(
            loop, clockNanos, random, log, metrics, ports, calls, fleet, this::peerAddresses);
    this.relay = makeRelay(loop);
    this.quarantines =
        new Quarantines(quarantine, relay.partGuard(), store, loop, clockNanos, timeOfDayMs, log);
    this.lag = new LoopLag(log, UPDATE_INTERVAL_MS, metrics::recordLoopDelay);
    this.failureDetector = new FailureDetector(clockNanos);
    this.heartbeats = makeHeartbeats();
    HubPlan.ProcessLocation location = new HubPlan.ProcessLocation(name, settings.zone());
    this.mesh = new PeerMesh(loop, clockNanos, log, location, heartbeats, heartbeats::apply);
    this.leases = new DomainLeases(store, loop, elapsed::nowNanos, log, name, mesh, fleet::domains);
    this.replicas = makeReplicas(loop);
    this.heldBytes = new HeldBytes(settings.heldBytes(), new HeldBytesLog(log, metrics));
    this.callers = makeCallers(loop);
    this.connectionLimit = new ConnectionLimit(callers, traffic, clockNanos, log, metrics);
    this.processes = new ProcessRegistry(store, loop, log, mesh, location);
    this.processFollower =
        follower(Topic.PROCESSES, PROCESS_WAIT_MS, processes::readIntervalMs, processes);
    this.periodicUpdate = makePeriodicUpdate();
    this.shutdown =
        new GracefulShutdown(
            loop, clockNanos, log, settings.graceMs(), leases, callers, relay, access);
    connect(calls);
  }

  private CallerServer makeCallers(EventLoop loop) {
    return new CallerServer(
        loop,
        clockNanos,
        this::limits,
        relay,
        reason -> metrics.count("shoreroad.bad_input", reason),
        heldBytes);
  }

  private SendGates makeGates() {
    return new SendGates(
        name, fleet, ports.upstreamDecoder(), configuration, clockNanos, log, metrics);
  }

  /** Lets the owners of fabric domains grant the room at their heads, if the settings say so. */
  private void shareRoom() {
    RoomActivation activation =
        new RoomActivation(
            settings.roomMode(), configuration::services, traffic::arrived, clockNanos);
    demands.setUnevenCheck(activation::isActive);
    if (settings.roomMode() == RoomMode.NEVER) {
      return;
    }
    RoomSharing room =
        new RoomSharing(
            loop,
            clockNanos,
            random,
            log,
            metrics,
            new HeartbeatAdditions.RoomOwner(name, peerAddress()),
            settings.zone(),
            leases::heldDomains,
            () -> mesh.latestHeartbeats().keySet(),
            configuration::config,
            new HeadViews(upstreams, backpressure, clockNanos),
            replicas::closingHeadIds,
            activation,
            gates.coldGate()::setGranting);
    relay.setRoomBroker(room.broker());
    heartbeats.addContributor(room::contribute);
    mesh.addFrameReceiver(room);
    room.start();
  }

  private String peerAddress() {
    String host = settings.peerListen().getAddress().getHostAddress();
    return host + ":" + settings.peerListen().getPort();
  }

  private PeriodicUpdate makePeriodicUpdate() {
    return new PeriodicUpdate(
        log,
        metrics,
        () -> lag.measure(clockNanos.getAsLong()),
        elapsed,
        configuration,
        configFollower,
        fleet,
        listFollower,
        mesh,
        selector,
        upstreams,
        traffic,
        backpressure,
        this::updateLimits);
  }

  private void updateLimits() {
    connectionLimit.update();
    // An upstream that appears before the list was read once and there is traffic has not started.
    boolean hasTraffic = relay.acceptedCount() > 0 || upstreams.hasPeerLoad();
    gates.update(mesh.names(), processFollower.isCurrent(), listFollower.isCurrent() && hasTraffic);
  }

  private LocalHeartbeats makeHeartbeats() {
    return new LocalHeartbeats(
        clockNanos,
        configuration,
        fleet,
        listFollower,
        upstreams,
        stalls,
        failureDetector,
        quarantine,
        backpressure);
  }

  private ReplicaService makeReplicas(EventLoop loop) {
    return new ReplicaService(
        loop,
        clockNanos,
        log,
        fleet,
        leases,
        ports.engines(),
        configuration::config,
        stalls::suspectedIds,
        demands::demand,
        failureDetector,
        mesh::witnessNames,
        settings.stallMs());
  }

  private Relay makeRelay(EventLoop loop) {
    return new Relay(
        loop,
        clockNanos,
        random,
        log,
        metrics,
        ports.headers(),
        access.calls(),
        selector,
        stalls,
        configuration,
        settings.rules(),
        quarantine,
        backpressure);
  }

  /** Connects the parts by listeners and suppliers. */
  private void connect(HttpCalls calls) {
    configuration.setFollower(configFollower);
    configuration.setIgnoredValueListener(metrics::countIgnoredValue);
    // Without hubs each process reads the configuration itself: if the store refuses the reads of
    // a few readers, a change is not in force everywhere within two seconds.
    configFollower.readThroughPeersWhile(
        mesh::isMember, ConfigurationView.peerProofMs(settings.revokeMs()));
    configFollower.setWait(
        () -> mesh.isHub() ? random.nextInt(configWaitMs() / 2, configWaitMs()) : configWaitMs());
    configFollower.setListingDelay(() -> random.nextInt(LISTING_SPREAD_MS));
    listFollower.setListingDelay(() -> random.nextInt(LISTING_SPREAD_MS));
    processFollower.setListingDelay(() -> random.nextInt(PROCESS_LISTING_SPREAD_MS));
    ports.storeEra().addListener(this::noteEra);
    listFollower.readThroughPeersWhile(() -> !mesh.isReader(), PEER_LIST_PROOF_MS);
    leases.setChangeListener(mesh::sendSoon);
    replicas.setUrgentChangeListener(mesh::sendSoon);
    stalls.setSuspicionListener(
        head -> {
          mesh.sendSuspicion(Set.of(head));
          replicas.scheduleReconcile();
        });
    heartbeats.connect(mesh, leases, replicas);
    gates.connect(upstreams, backpressure, heartbeats);
    gates.evacuations().setChangeListener(mesh::sendSoon);
    replicas.setEvacuations(gates.evacuations());
    heartbeats.addContributor(traffic::contribute);
    relay.setTraffic(traffic);
    mesh.setSuspicionListener(heartbeats::applySuspicions);
    backpressure.setLimitListener(mesh::sendSoon);
    backpressure.setLeavingListener(fleet::noteLeaving);
    quarantines.connect(name, mesh, heartbeats, metrics);
    fleet.setServiceCheck(configuration::isDeclared);
    fleet.setFaultListener(
        fault -> metrics.count("shoreroad.upstreams.unusable_entries", fault.code()));
    fleet.setFormerIncarnationListener(
        what -> metrics.count("shoreroad.upstreams.former_incarnation", what));
    fleet.addRemovalListener(
        box -> {
          calls.closeIdle(box.address());
          upstreams.forget(box.id());
          replicas.forget(box.id());
          failureDetector.forget(box.id());
        });
    access.connect(mesh, relay, selector, stalls, upstreams, leases, replicas, callers);
    shareRoom();
  }

  private Map<String, String> peerAddresses() {
    return mesh.reachableAddresses();
  }

  /**
   * Opens the ports and starts all parts; to be called on the event loop.
   *
   * @param onFatal called if a port can't be opened, not null
   */
  public void start(Consumer<Throwable> onFatal) {
    log.write(
        "start",
        "process",
        name,
        "zone",
        settings.zone(),
        "callers",
        settings.callerListen(),
        "revokeMs",
        settings.revokeMs(),
        "isKeyProofRequired",
        settings.isKeyProofRequired());
    StatusEndpoints status = new StatusEndpoints(loop, clockNanos, this::limits);
    List.of(
            callers.start(settings.callerListen()),
            status.startReadiness(settings.readyListen(), this::isReady),
            status.startMetrics(settings.metricsListen(), metrics),
            mesh.start(settings.peerListen()))
        .forEach(
            opening ->
                opening.addListener(
                    done -> {
                      if (!done.isSuccess()) {
                        onFatal.accept(done.cause());
                      }
                    }));
    configFollower.start();
    listFollower.start();
    quarantines.load();
    // Members need the list only to find a hub. If all processes continued to read it, a quarter of
    // the calls to the store would be for it, and each would read every restart of another.
    processFollower.suspendReadsWhile(mesh::canSkipProcessList, MEMBER_PROCESS_PAUSE_MS);
    processFollower.start();
    processes.announce(new Announcement(peerAddress(), settings.zone()));
    leases.start();
    relay.start();
    access.start();
    replicas.start();
    RepeatingTimer timer = new RepeatingTimer(loop, log);
    timer.every(UPDATE_INTERVAL_MS, "upkeep", periodicUpdate::run);
    timer.every(
        SUMMARY_INTERVAL_MS,
        "summary",
        new ProcessSummary(configuration, summary, store, log)::run);
    new ProcessGauges(metrics)
        .addCallers(relay, quarantine, callers, heldBytes)
        .addSystem(backpressure, mesh, configuration, ports.storeEra())
        .addProcess(log, lag);
  }

  /**
   * Shuts the process down gracefully: is no longer ready, releases its leases, answers requests on
   * open connections, and ends when nothing is left or the grace period is over.
   *
   * @param onEnd called when the process may end
   */
  public void stop(Runnable onEnd) {
    shutdown.begin(onEnd);
  }

  private TopicFollower follower(
      Topic topic, int waitMs, IntSupplier minIntervalMs, TopicFollower.Listener listener) {
    TopicFollower follower =
        new TopicFollower(topic, store, loop, clockNanos, log, waitMs, minIntervalMs, listener);
    follower.setFailureListener(() -> metrics.countFailedRecord(topic));
    return follower;
  }

  private int configWaitMs() {
    return ConfigurationView.readWaitMs(settings.revokeMs());
  }

  private CallerLimits limits() {
    return configuration.config() == null ? CallerLimits.DEFAULT : configuration.config().limits();
  }

  private boolean isReady() {
    return !shutdown.hasBegun()
        && configuration.config() != null
        && listFollower.isCurrent()
        && configuration.isServing();
  }

  /** Reads the contents of the store again after it was restored from an older copy. */
  private void noteEra() {
    metrics.count("shoreroad.store.eras", "new");
    long era = ports.storeEra().current();
    configFollower.noteEra(era);
    listFollower.noteEra(era);
    processFollower.noteEra(era);
    leases.noteEra();
    quarantines.writeAgain(era);
  }
}
