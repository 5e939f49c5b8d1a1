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
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.BoxOrder;
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
 * Keeps the replicas of the domains whose lease this process holds.
 *
 * <p>Asks engines only where something is in doubt or under way, since each question has its price;
 * else the list tells enough. Used on the event loop.
 *
 * @since 0.2
 */
public final class ReplicaService {
  /** Between two decisions while something is under way; answers of engines come in between. */
  private static final int BUSY_TICK_MS = 50;

  /** Between two decisions else: only the list can bring changes that are not told at once. */
  private static final int CALM_TICK_MS = 150;

  /** A process that keeps no domain only answers the questions of others, this often. */
  private static final int TICK_WITHOUT_DOMAIN_MS = 200;

  /** Between two questions to a box on behalf of a peer, which has its own answers besides. */
  private static final long PEERS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** The members of a suspected head are asked for this long, about six times each. */
  private static final long DOUBTFUL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Boxes and replicas that are gone are forgotten this often. */
  private static final long FORGET_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final RepeatingTimer timer;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Fleet fleet;
  private final DomainLeases leases;
  private final Engines engines;
  private final EngineContact contact;
  private final Supplier<@Nullable TrafficConfig> config;
  private final Supplier<Set<String>> suspectedHeads;
  private final Function<UpstreamService, Demand> demands;
  private final FailureDetector failureDetector;
  private final DomainWatch watch;
  private final Map<String, DomainReconciler> keepers = new HashMap<>();
  private final Map<String, Long> suspectedSinceNanos = new HashMap<>();
  private final Map<String, ServiceDomains> domainsByService = new HashMap<>();
  private long forgottenNanos;
  private boolean isHurried;

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
    this.engines = engines;
    this.contact = new EngineContact(clockNanos, log, fleet, engines);
    contact.setAnswerListener(this::hurry);
    this.config = config;
    this.suspectedHeads = suspectedHeads;
    this.demands = demands;
    this.failureDetector = failureDetector;
    this.watch = new DomainWatch(clockNanos, fleet, contact, failureDetector, alivePeers, stallMs);
  }

  /** Sets what is done when the head of a replica has said something that others wait for. */
  public void setUrgentChangeListener(Runnable listener) {
    contact.setUrgentChangeListener(listener);
  }

  /** Starts to keep. */
  public void start() {
    timer.every(this::tickMs, "replicas", this::tick);
  }

  private int tickMs() {
    if (!leases.hasGrantedDomains()) {
      return TICK_WITHOUT_DOMAIN_MS;
    }
    boolean isCalm = suspectedSinceNanos.isEmpty() && !watch.isAnyBusy();
    return isCalm ? CALM_TICK_MS : BUSY_TICK_MS;
  }

  /** Decides anew right after what happens now, in place of at the next tick. */
  public void hurry() {
    if (!isHurried && leases.hasGrantedDomains()) {
      isHurried = true;
      timer.once(0, "replicas", this::keepHurried);
    }
  }

  private void keepHurried() {
    isHurried = false;
    keepAll();
  }

  private void tick() {
    keepAll();
    answerPeers();
    if (clockNanos.getAsLong() - forgottenNanos > FORGET_INTERVAL_NANOS) {
      forgottenNanos = clockNanos.getAsLong();
      watch.forgetOthers();
    }
  }

  private void keepAll() {
    TrafficConfig current = config.get();
    if (current == null) {
      return;
    }
    if (!leases.hasGrantedDomains()) {
      keepers.clear();
      watch.forgetDomains();
      return;
    }
    for (UpstreamService service : current.services()) {
      EngineSpec engine = service.engine();
      if (engine != null) {
        keepService(service, engine);
      }
    }
  }

  /**
   * Returns what engines have newly said to this process; the next call returns only later reports.
   */
  public List<FleetBox> takeReports() {
    return contact.takeReports();
  }

  /** Forgets a box: it is gone, or has started again, and holds nothing of what it was given. */
  public void forget(String id) {
    contact.forget(id);
    keepers.values().forEach(keeper -> keeper.forget(id));
  }

  /** Returns the boxes that peers asked about and that do not answer this process either. */
  public Set<String> silentForPeers() {
    long nowNanos = clockNanos.getAsLong();
    Set<String> silent = new HashSet<>();
    for (String id : failureDetector.askedByPeers().keySet()) {
      if (contact.reach().reach(id, false, nowNanos) != Reach.LIKELY) {
        silent.add(id);
      }
    }
    return silent;
  }

  private void answerPeers() {
    long nowNanos = clockNanos.getAsLong();
    failureDetector
        .askedByPeers()
        .forEach(
            (id, address) -> {
              FleetBox known = fleet.find(id);
              contact.ask(
                  known == null ? strangerAt(id, address) : known, PEERS_INTERVAL_NANOS, nowNanos);
            });
  }

  private static FleetBox strangerAt(String id, String address) {
    return new FleetBox(id, "", address, "", 0, false, null, null, List.of(), null);
  }

  private void keepService(UpstreamService service, EngineSpec engine) {
    ServiceDomains known = domainsByService.get(service.name());
    if (known == null || known.listChanges() != fleet.listChanges() || known.engine() != engine) {
      known = deriveDomains(service, engine);
      domainsByService.put(service.name(), known);
    }
    Set<String> suspected = findNewlySuspected();
    Demand demand = demands.apply(service);
    for (String domain : known.names()) {
      String key = Fleet.domainKey(service.name(), domain);
      if (leases.holds(key)) {
        keepDomain(key, domain, engine, fleet.boxesOf(key), known.plan(), suspected, demand);
      } else {
        keepers.remove(key);
        watch.forgetDomain(key);
      }
    }
  }

  /** Returns the heads that are suspected since a moment ago; the others have answered by now. */
  private Set<String> findNewlySuspected() {
    long nowNanos = clockNanos.getAsLong();
    Set<String> suspected = new HashSet<>(suspectedHeads.get());
    suspectedSinceNanos.keySet().retainAll(suspected);
    suspected.forEach(id -> suspectedSinceNanos.putIfAbsent(id, nowNanos));
    suspected.removeIf(id -> nowNanos - suspectedSinceNanos.get(id) > DOUBTFUL_NANOS);
    return suspected;
  }

  private ServiceDomains deriveDomains(UpstreamService service, EngineSpec engine) {
    Map<String, Integer> sizes = new TreeMap<>();
    String prefix = Fleet.domainKey(service.name(), "");
    for (String key : fleet.domains()) {
      if (key.startsWith(prefix)) {
        sizes.put(key.substring(prefix.length()), countLasting(fleet.boxesOf(key)));
      }
    }
    return new ServiceDomains(
        fleet.listChanges(), engine, List.copyOf(sizes.keySet()), ReplicaPlan.of(engine, sizes));
  }

  /**
   * The fabric domains of a service, as derived from the list.
   *
   * @param listChanges the list's number of changes that this was derived at
   * @param engine the engines that the plan was made for
   * @param names the names of the domains
   * @param plan what each domain is to hold
   */
  private record ServiceDomains(
      long listChanges, EngineSpec engine, List<String> names, ReplicaPlan plan) {}

  private int countLasting(List<FleetBox> boxes) {
    return (int) boxes.stream().filter(box -> !box.isLeaving() && fleet.isListed(box.id())).count();
  }

  private void keepDomain(
      String key,
      String domain,
      EngineSpec engine,
      List<FleetBox> boxes,
      ReplicaPlan plan,
      Set<String> suspected,
      Demand demand) {
    long nowNanos = clockNanos.getAsLong();
    DomainReconciler keeper = keepers.computeIfAbsent(key, name -> takeDomain(key, domain, boxes));
    List<ObservedBox> observedBoxes = watch.look(key, keeper, boxes, suspected);
    boolean neededReports = keeper.needsReports();
    keeper
        .decide(nowNanos, engine, observedBoxes, plan, watch.headsSeen(), demand)
        .forEach(order -> give(key, keeper, engine, order));
    if (keeper.needsReports() && !neededReports) {
      // The boxes are asked at once.
      hurry();
    }
    for (ObservedBox observed : observedBoxes) {
      if (observed.isDead() && !observed.isListed()) {
        fleet.remove(observed.box().id());
      }
    }
  }

  private DomainReconciler takeDomain(String key, String domain, List<FleetBox> boxes) {
    log.write(
        "domain_taken", "domain", key, "boxes", boxes.size(), "fence", leases.fencingNumber(key));
    return new DomainReconciler(domain, ReconcilerTiming.DEFAULT, () -> leases.nextEpoch(key));
  }

  private void give(String key, DomainReconciler keeper, EngineSpec engine, BoxOrder order) {
    FleetBox box = fleet.find(order.boxId());
    if (box == null) {
      return;
    }
    long fence = leases.fencingNumber(key);
    engines.order(
        box,
        order,
        fence,
        outcome -> {
          FleetBox now = fleet.find(order.boxId());
          if (now == null || now.isOtherIncarnationOf(box)) {
            log.write("order_of_former_incarnation", "box", order.boxId(), "outcome", outcome);
            return;
          }
          if (outcome == Engines.OrderOutcome.TAKEN) {
            keeper.recordAccepted(order, clockNanos.getAsLong());
            contact.noteTaken(order, engine.reportLagMs());
          } else if (outcome == Engines.OrderOutcome.NOT_FITTING) {
            keeper.recordRejected(order, clockNanos.getAsLong());
          }
          logOrder(order, fence, outcome);
        });
  }

  private void logOrder(BoxOrder order, long fence, Engines.OrderOutcome outcome) {
    log.write(
        "box_order",
        "box",
        order.boxId(),
        "verb",
        order.verb(),
        "replica",
        String.valueOf(order.replica()),
        "model",
        String.valueOf(order.model()),
        "reason",
        order.reason(),
        "fence",
        fence,
        "outcome",
        outcome);
  }
}
