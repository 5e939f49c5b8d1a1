package org.shoreroad.edge.replica;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.peer.FailureDetector;
import org.shoreroad.edge.sync.DomainLeases;
import org.shoreroad.edge.sync.Evacuations;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.Conversion;
import org.shoreroad.fleet.Demand;
import org.shoreroad.fleet.DomainReconciler;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.ObservedBox;
import org.shoreroad.fleet.ObservedBox.Reach;
import org.shoreroad.fleet.ReconcilerTiming;
import org.shoreroad.fleet.ReplicaPlan;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/**
 * Service that forms, opens and closes the replicas of the domains whose lease this process holds.
 *
 * <p>Requests reports only from engines whose state is in doubt or about to change, since each
 * request has a cost; for the others the list of upstreams is sufficient. Not thread-safe: used on
 * the event loop.
 *
 * @since 0.2
 */
public final class ReplicaService {
  /** Interval between reconciliations during a change; answers of engines trigger more. */
  private static final int BUSY_TICK_MS = 50;

  /** Interval otherwise; every change except one of the list triggers a reconciliation at once. */
  private static final int IDLE_TICK_MS = 150;

  /** Interval without a lease, when the process only requests reports on behalf of peers. */
  private static final int TICK_WITHOUT_DOMAIN_MS = 200;

  /** Interval between report requests on behalf of peers, which send their own as well. */
  private static final long PEER_REQUEST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Time for which the members of a suspected head are asked, about six times each. */
  private static final long SUSPECTED_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Interval between removals of boxes and replicas that no longer exist. */
  private static final long FORGET_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final RepeatingTimer timer;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Fleet fleet;
  private final DomainLeases leases;
  private final EngineMonitor monitor;
  private final OrderSender orders;
  private final Supplier<@Nullable TrafficConfig> config;
  private final Supplier<Set<String>> suspectedHeads;
  private final Function<UpstreamService, Demand> demands;
  private final FailureDetector failureDetector;
  private final DomainObserver observer;
  private final Map<String, DomainReconciler> reconcilers = new HashMap<>();
  private final Map<String, Long> suspectedSinceNanos = new HashMap<>();
  private final Map<String, ServiceDomains> domainsByService = new HashMap<>();
  private @Nullable Evacuations evacuations;
  private long lastForgetNanos;
  private boolean isReconcileScheduled;

  /** Creates a service; {@link #start} begins its timer. */
  public ReplicaService(
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      Fleet fleet,
      DomainLeases leases,
      Engines engines,
      Supplier<@Nullable TrafficConfig> config,
      Supplier<Set<String>> suspectedHeads,
      Function<UpstreamService, Demand> demands,
      FailureDetector failureDetector,
      Supplier<Set<String>> alivePeers,
      int stallMs) {
    this.timer = new RepeatingTimer(loop, log);
    this.clockNanos = clockNanos;
    this.log = log;
    this.fleet = fleet;
    this.leases = leases;
    this.monitor = new EngineMonitor(clockNanos, log, fleet, engines);
    this.orders = new OrderSender(clockNanos, log, fleet, engines, monitor);
    monitor.setAnswerListener(this::scheduleReconcile);
    this.config = config;
    this.suspectedHeads = suspectedHeads;
    this.demands = demands;
    this.failureDetector = failureDetector;
    this.observer =
        new DomainObserver(clockNanos, fleet, monitor, failureDetector, alivePeers, stallMs);
  }

  /** Sets the evacuated zones, in which no replica is formed or opened. */
  public void setEvacuations(Evacuations newEvacuations) {
    evacuations = newEvacuations;
    observer.setEvacuations(newEvacuations);
  }

  /** Sets the check of boxes that do not answer this process. */
  public void setUnreachedBoxes(UnreachedBoxes check) {
    monitor.setUnreachedBoxes(check);
  }

  /** Discards what boxes of a service did not answer, since the path to them was lost. */
  public void forgetSilence(String service) {
    for (FleetBox box : fleet.boxes()) {
      if (box.service().equals(service)) {
        monitor.reachability().recordUnknown(box.id());
      }
    }
  }

  /** Sets the listener for changed heads, which other processes must receive quickly. */
  public void setUrgentChangeListener(Runnable listener) {
    monitor.setUrgentChangeListener(listener);
  }

  /** Starts the timer. */
  public void start() {
    timer.every(this::tickIntervalMs, "replicas", this::tick);
  }

  private int tickIntervalMs() {
    if (!leases.hasGrantedDomains()) {
      return TICK_WITHOUT_DOMAIN_MS;
    }
    boolean isIdle = suspectedSinceNanos.isEmpty() && !observer.isAnyBusy();
    return isIdle ? IDLE_TICK_MS : BUSY_TICK_MS;
  }

  /** Schedules a reconciliation right after the current task, ahead of the next tick. */
  public void scheduleReconcile() {
    if (!isReconcileScheduled && leases.hasGrantedDomains()) {
      isReconcileScheduled = true;
      timer.once(0, "replicas", this::runScheduledReconcile);
    }
  }

  private void runScheduledReconcile() {
    isReconcileScheduled = false;
    reconcileAll();
  }

  private void tick() {
    reconcileAll();
    requestReportsForPeers();
    if (clockNanos.getAsLong() - lastForgetNanos > FORGET_INTERVAL_NANOS) {
      lastForgetNanos = clockNanos.getAsLong();
      observer.forgetStale();
    }
  }

  private void reconcileAll() {
    TrafficConfig current = config.get();
    if (current == null) {
      return;
    }
    if (!leases.hasGrantedDomains()) {
      reconcilers.clear();
      observer.forgetDomains();
      return;
    }
    for (UpstreamService service : current.services()) {
      EngineSpec engine = service.engine();
      if (engine != null) {
        reconcileService(service, engine);
      }
    }
  }

  /** Returns the boxes with new reports to this process; the next call returns only later ones. */
  public List<FleetBox> takeReports() {
    return monitor.takeReports();
  }

  /** Returns the ids of the heads of replicas that this process is closing. */
  public Set<String> closingHeadIds() {
    Set<String> ids = new HashSet<>();
    reconcilers.values().forEach(reconciler -> ids.addAll(reconciler.closingHeadIds()));
    return ids;
  }

  /** Forgets a box that has ended or restarted, and with it the orders it was given. */
  public void forget(String id) {
    monitor.forget(id);
    reconcilers.values().forEach(reconciler -> reconciler.forget(id));
  }

  /** Returns the boxes that peers asked about and that do not answer this process either. */
  public Set<String> silentForPeers() {
    long nowNanos = clockNanos.getAsLong();
    Set<String> silent = new HashSet<>();
    for (String id : failureDetector.askedByPeers().keySet()) {
      if (monitor.reachability().reach(id, false, nowNanos) != Reach.LIKELY) {
        silent.add(id);
      }
    }
    return silent;
  }

  private void requestReportsForPeers() {
    long nowNanos = clockNanos.getAsLong();
    failureDetector
        .askedByPeers()
        .forEach(
            (id, address) -> {
              FleetBox known = fleet.find(id);
              monitor.requestReport(
                  known == null ? unknownBox(id, address) : known,
                  PEER_REQUEST_INTERVAL_NANOS,
                  nowNanos);
            });
  }

  private static FleetBox unknownBox(String id, String address) {
    return new FleetBox(id, "", address, "", 0, false, null, null, List.of(), null);
  }

  private void reconcileService(UpstreamService service, EngineSpec engine) {
    ServiceDomains known = domainsByService.get(service.name());
    if (known == null || !known.isFor(fleet.listChanges(), zoneChanges(), engine)) {
      known = deriveDomains(service, engine);
      domainsByService.put(service.name(), known);
    }
    Set<String> suspected = findNewlySuspected();
    Demand demand = demands.apply(service);
    for (String domain : known.names()) {
      String key = Fleet.domainKey(service.name(), domain);
      if (leases.holds(key) && !isEvacuated(fleet.boxesOf(key))) {
        reconcileDomain(key, domain, engine, fleet.boxesOf(key), known.plan(), suspected, demand);
      } else {
        reconcilers.remove(key);
        observer.forgetDomain(key);
      }
    }
  }

  /** Returns the heads suspected only recently; the others have had time to answer. */
  private Set<String> findNewlySuspected() {
    long nowNanos = clockNanos.getAsLong();
    Set<String> suspected = new HashSet<>(suspectedHeads.get());
    suspectedSinceNanos.keySet().retainAll(suspected);
    suspected.forEach(id -> suspectedSinceNanos.putIfAbsent(id, nowNanos));
    suspected.removeIf(id -> nowNanos - suspectedSinceNanos.get(id) > SUSPECTED_NANOS);
    return suspected;
  }

  private ServiceDomains deriveDomains(UpstreamService service, EngineSpec engine) {
    Map<String, Integer> sizes = new TreeMap<>();
    String prefix = Fleet.domainKey(service.name(), "");
    for (String key : fleet.domains()) {
      if (key.startsWith(prefix)) {
        sizes.put(key.substring(prefix.length()), countStaying(fleet.boxesOf(key)));
      }
    }
    return new ServiceDomains(
        fleet.listChanges(),
        zoneChanges(),
        engine,
        List.copyOf(sizes.keySet()),
        ReplicaPlan.of(engine, sizes));
  }

  /**
   * Fabric domains of a service, as derived from the list of upstreams.
   *
   * @param listChanges the number of list changes at the derivation
   * @param zoneChanges the number of evacuated and returned zones at the derivation
   * @param engine the engines that the plan was made for
   * @param names the names of the domains
   * @param plan the planned replicas of each domain
   */
  private record ServiceDomains(
      long listChanges, long zoneChanges, EngineSpec engine, List<String> names, ReplicaPlan plan) {
    /** Returns true if the domains were derived from this state. */
    boolean isFor(long currentListChanges, long currentZoneChanges, EngineSpec currentEngine) {
      return listChanges == currentListChanges
          && zoneChanges == currentZoneChanges
          && engine == currentEngine;
    }
  }

  private long zoneChanges() {
    return evacuations == null ? 0 : evacuations.changes();
  }

  private boolean isEvacuated(FleetBox box) {
    return evacuations != null && evacuations.isEvacuated(box.zone());
  }

  /**
   * Returns true if all boxes are in evacuated zones. Their domain gets no orders, so that replicas
   * that are open finish their requests and can take new ones as soon as the zone returns.
   */
  private boolean isEvacuated(List<FleetBox> boxes) {
    return !boxes.isEmpty() && boxes.stream().allMatch(this::isEvacuated);
  }

  private int countStaying(List<FleetBox> boxes) {
    return (int)
        boxes.stream()
            .filter(box -> !box.isLeaving() && fleet.isListed(box.id()) && !isEvacuated(box))
            .count();
  }

  private void reconcileDomain(
      String key,
      String domain,
      EngineSpec engine,
      List<FleetBox> boxes,
      ReplicaPlan plan,
      Set<String> suspected,
      Demand demand) {
    long nowNanos = clockNanos.getAsLong();
    DomainReconciler reconciler =
        reconcilers.computeIfAbsent(key, name -> startDomain(key, domain, boxes));
    List<ObservedBox> observedBoxes = observer.observe(key, reconciler, boxes, suspected);
    boolean neededReports = reconciler.needsReports();
    reconciler
        .decide(nowNanos, engine, observedBoxes, plan, observer.headsSeen(), demand)
        .forEach(
            order ->
                orders.send(reconciler, order, leases.fencingNumber(key), engine.reportLagMs()));
    logConversion(key, reconciler.takeConversion());
    if (reconciler.needsReports() && !neededReports) {
      // Sends the report requests at once.
      scheduleReconcile();
    }
    for (ObservedBox observed : observedBoxes) {
      if (observed.isDead() && !observed.isListed()) {
        fleet.remove(observed.box().id());
      }
    }
  }

  private DomainReconciler startDomain(String key, String domain, List<FleetBox> boxes) {
    log.write(
        "domain_taken", "domain", key, "boxes", boxes.size(), "fence", leases.fencingNumber(key));
    return new DomainReconciler(domain, ReconcilerTiming.DEFAULT, () -> leases.nextEpoch(key));
  }

  private void logConversion(String key, @Nullable Conversion conversion) {
    if (conversion != null) {
      log.write(
          "replica_conversion",
          "domain",
          key,
          "closed",
          conversion.closed(),
          "pressureBefore",
          conversion.pressureBefore(),
          "pressureAfter",
          conversion.pressureAfter(),
          "isStrained",
          conversion.isStrained());
    }
  }
}
