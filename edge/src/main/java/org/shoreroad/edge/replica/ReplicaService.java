package org.shoreroad.edge.replica;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
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
import org.shoreroad.edge.Clockwork;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.Doubts;
import org.shoreroad.edge.sync.DomainLease;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.BoxSight;
import org.shoreroad.fleet.BoxSight.Reach;
import org.shoreroad.fleet.Demand;
import org.shoreroad.fleet.DomainKeeper;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.KeeperTiming;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;
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
  private static final int TICK_MS = 50;

  /** A process that keeps no domain only answers the questions of others, this often. */
  private static final int TICK_WITHOUT_DOMAIN_MS = 200;

  /** Between two questions to a box of a replica that is being formed or closed, or in doubt. */
  private static final long BUSY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(140);

  /** A word of an engine confirms where it stands for this long after it was asked. */
  private static final long CONFIRMED_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final long CONFIRMING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** While weights are loaded, which takes seconds. */
  private static final long LOADING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** To a box that did not answer. */
  private static final long SILENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** A formation is asked after quickly for this long; then it must be loading. */
  private static final long QUICK_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** Boxes and replicas that are gone are forgotten this often. */
  private static final long FORGET_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Beyond the time in which an engine breaks a replica that lost a member. */
  private static final int STALL_MARGIN_MS = 1_000;

  /**
   * A leaving box listens no more but ends its work for ten seconds at most; and a second beyond.
   */
  private static final long LEAVING_NANOS = TimeUnit.SECONDS.toNanos(11);

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Fleet fleet;
  private final DomainLease lease;
  private final Engines engines;
  private final Supplier<@Nullable TrafficConfig> config;
  private final Supplier<Set<String>> suspectedHeads;
  private final Function<UpstreamService, Demand> demands;
  private final Doubts doubts;
  private final Supplier<Set<String>> alivePeers;
  private final long certainNanos;
  private final Set<ReplicaId> headsSeen = new HashSet<>();
  private final Map<String, FleetBox> news = new HashMap<>();
  private final ReachBook reach = new ReachBook();
  private final Map<String, DomainKeeper> keepers = new HashMap<>();
  private final Map<String, Long> busySinceNanos = new HashMap<>();
  private final Map<String, ServiceDomains> domainsByService = new HashMap<>();
  private Runnable onUrgentNews = () -> {};
  private long forgottenNanos;

  /** Creates a service; {@link #start} begins its clockwork. */
  public ReplicaService(
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      Fleet fleet,
      DomainLease lease,
      Engines engines,
      Supplier<@Nullable TrafficConfig> config,
      Supplier<Set<String>> suspectedHeads,
      Function<UpstreamService, Demand> demands,
      Doubts doubts,
      Supplier<Set<String>> alivePeers,
      int stallMs) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.fleet = fleet;
    this.lease = lease;
    this.engines = engines;
    this.config = config;
    this.suspectedHeads = suspectedHeads;
    this.demands = demands;
    this.doubts = doubts;
    this.alivePeers = alivePeers;
    this.certainNanos = TimeUnit.MILLISECONDS.toNanos(stallMs + STALL_MARGIN_MS);
  }

  /** Sets what is done when the head of a replica has said something that others wait for. */
  public void setUrgentNewsListener(Runnable listener) {
    onUrgentNews = listener;
  }

  /** Starts to keep. */
  public void start() {
    new Clockwork(loop, log)
        .every(() -> lease.holdsAny() ? TICK_MS : TICK_WITHOUT_DOMAIN_MS, "replicas", this::tick);
  }

  private void tick() {
    TrafficConfig current = config.get();
    if (current == null) {
      return;
    }
    if (lease.holdsAny()) {
      for (UpstreamService service : current.services()) {
        EngineSpec engine = service.engine();
        if (engine != null) {
          keepService(service, engine);
        }
      }
    } else {
      keepers.clear();
      busySinceNanos.clear();
    }
    answerPeers();
    if (clockNanos.getAsLong() - forgottenNanos > FORGET_INTERVAL_NANOS) {
      forgottenNanos = clockNanos.getAsLong();
      forgetOthers();
    }
  }

  /**
   * Returns what engines have newly said to this process; the next call returns only later news.
   */
  public List<FleetBox> takeNews() {
    List<FleetBox> taken = List.copyOf(news.values());
    news.clear();
    return taken;
  }

  /** Returns the boxes that peers asked about and that do not answer this process either. */
  public Set<String> silentForPeers() {
    long nowNanos = clockNanos.getAsLong();
    Set<String> silent = new HashSet<>();
    for (String id : doubts.askedByPeers().keySet()) {
      if (reach.reach(id, nowNanos) != Reach.LIKELY) {
        silent.add(id);
      }
    }
    return silent;
  }

  private void answerPeers() {
    long nowNanos = clockNanos.getAsLong();
    doubts
        .askedByPeers()
        .forEach(
            (id, address) -> {
              FleetBox known = fleet.find(id);
              ask(known == null ? strangerAt(id, address) : known, SILENT_INTERVAL_NANOS, nowNanos);
            });
  }

  private static FleetBox strangerAt(String id, String address) {
    return new FleetBox(id, "", address, "", 0, false, null, null, List.of(), null);
  }

  private void forgetOthers() {
    Set<String> known = new HashSet<>(doubts.askedByPeers().keySet());
    Set<ReplicaId> replicas = new HashSet<>();
    for (FleetBox box : fleet.boxes()) {
      known.add(box.id());
      Membership membership = box.membership();
      if (membership != null) {
        replicas.add(membership.replica());
        if (membership.isHead()) {
          headsSeen.add(membership.replica());
        }
      }
    }
    reach.retain(known);
    headsSeen.retainAll(replicas);
  }

  private void keepService(UpstreamService service, EngineSpec engine) {
    ServiceDomains known = domainsByService.get(service.name());
    if (known == null || known.changes() != fleet.changes() || known.engine() != engine) {
      known = deriveDomains(service, engine);
      domainsByService.put(service.name(), known);
    }
    ReplicaPlan plan = known.plan();
    Set<String> suspected = suspectedHeads.get();
    Demand demand = demands.apply(service);
    known
        .boxes()
        .forEach(
            (domain, boxes) -> {
              String key = service.name() + "/" + domain;
              if (lease.holds(key)) {
                keepDomain(key, domain, engine, boxes, plan, suspected, demand);
              } else {
                keepers.remove(key);
                busySinceNanos.remove(key);
              }
            });
  }

  private ServiceDomains deriveDomains(UpstreamService service, EngineSpec engine) {
    Map<String, List<FleetBox>> boxesByDomain = new TreeMap<>();
    for (FleetBox box : fleet.boxes()) {
      if (box.service().equals(service.name()) && box.domain() != null) {
        boxesByDomain.computeIfAbsent(box.domain(), name -> new ArrayList<>()).add(box);
      }
    }
    Map<String, Integer> sizes = new HashMap<>();
    boxesByDomain.forEach((name, boxes) -> sizes.put(name, countLasting(boxes)));
    return new ServiceDomains(
        fleet.changes(), engine, boxesByDomain, ReplicaPlan.of(engine, sizes));
  }

  /**
   * The fabric domains of a service, as derived from the fleet.
   *
   * @param changes the fleet's number of changes that this was derived at
   * @param engine the engines that the plan was made for
   * @param boxes the boxes of each domain
   * @param plan what each domain is to hold
   */
  private record ServiceDomains(
      long changes, EngineSpec engine, Map<String, List<FleetBox>> boxes, ReplicaPlan plan) {}

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
    DomainKeeper keeper = keepers.computeIfAbsent(key, name -> takeDomain(key, domain, boxes));
    askInDoubt(boxes, suspected, nowNanos);
    if (keeper.needsWords()) {
      boxes.forEach(box -> ask(box, CONFIRMING_INTERVAL_NANOS, nowNanos));
    }
    if (keeper.isBusy()) {
      long sinceNanos = busySinceNanos.computeIfAbsent(key, name -> nowNanos);
      boolean isQuick = nowNanos - sinceNanos < QUICK_NANOS;
      long intervalNanos = isQuick ? BUSY_INTERVAL_NANOS : LOADING_INTERVAL_NANOS;
      boxes.forEach(box -> ask(box, intervalNanos, nowNanos));
    } else {
      busySinceNanos.remove(key);
    }
    List<BoxSight> sights = new ArrayList<>();
    for (FleetBox box : boxes) {
      FleetBox newest = fleet.find(box.id());
      if (newest != null) {
        sights.add(see(newest, nowNanos));
      }
    }
    keeper
        .decide(nowNanos, engine, sights, plan, headsSeen, demand)
        .forEach(order -> give(keeper, order));
    for (BoxSight sight : sights) {
      if (sight.isDead() && !sight.isListed()) {
        fleet.forget(sight.box().id());
      }
    }
  }

  private DomainKeeper takeDomain(String key, String domain, List<FleetBox> boxes) {
    log.write("domain_taken", "domain", key, "boxes", boxes.size(), "fence", lease.fence());
    return new DomainKeeper(domain, KeeperTiming.DEFAULT, lease::nextEpoch);
  }

  private BoxSight see(FleetBox box, long nowNanos) {
    boolean isListed = fleet.isListed(box.id());
    Reach reached = reach.reach(box.id(), nowNanos);
    if (reached == Reach.LOST && !isListed) {
      doubts.raise(box.id(), box.address());
      // A head that only was cut off has been broken by its own engine by then.
      long limitNanos = reach.isRefusing(box.id()) ? LEAVING_NANOS : certainNanos;
      boolean isLong = reach.silentNanos(box.id(), nowNanos) > limitNanos;
      if (isLong && doubts.isSilentForAll(box.id(), alivePeers.get())) {
        reached = Reach.GONE;
      }
    }
    boolean isSteady = reach.isSteady(box.id(), certainNanos, nowNanos);
    boolean isConfirmed = reach.hasWord(box.id(), CONFIRMED_NANOS, nowNanos);
    String lastModel = fleet.lastModel(box.id());
    // A box whose entry is gone for good serves on for a while, as one that said that it leaves.
    FleetBox seen = fleet.isOnList(box.id()) ? box : box.withLeaving();
    return new BoxSight(seen, isListed, reached, isSteady, isConfirmed, lastModel);
  }

  /** Asks boxes that are silent or unlisted, and all members of suspected replicas. */
  private void askInDoubt(List<FleetBox> boxes, Set<String> suspected, long nowNanos) {
    Set<String> doubtful = new HashSet<>();
    for (FleetBox box : boxes) {
      Membership membership = box.membership();
      if (membership != null && suspected.contains(box.id())) {
        doubtful.add(membership.replica().toString());
      }
    }
    for (FleetBox box : boxes) {
      Membership membership = box.membership();
      boolean isDoubtful = membership != null && doubtful.contains(membership.replica().toString());
      if (reach.isSilent(box.id()) || !fleet.isListed(box.id())) {
        ask(box, SILENT_INTERVAL_NANOS, nowNanos);
      } else if (isDoubtful) {
        ask(box, BUSY_INTERVAL_NANOS, nowNanos);
      }
    }
  }

  private void ask(FleetBox box, long intervalNanos, long nowNanos) {
    if (!reach.isDue(box.id(), intervalNanos, nowNanos)) {
      return;
    }
    reach.recordAsked(box.id(), nowNanos);
    long askedNanos = nowNanos;
    engines.ask(
        box,
        new Engines.AskCallback() {
          @Override
          public void onWord(FleetBox newest) {
            reach.recordWord(box.id(), askedNanos);
            if (fleet.update(newest)) {
              fleet.logWord(newest);
              news.put(newest.id(), newest);
              Membership membership = newest.membership();
              if (membership != null && membership.isHead()) {
                onUrgentNews.run();
              }
            }
          }

          @Override
          public void onSilence(Engines.Silence silence) {
            log.write("box_silent", "box", box.id(), "address", box.address(), "why", silence);
            recordSilence(box.id(), silence);
          }
        });
  }

  private void recordSilence(String id, Engines.Silence silence) {
    boolean isRefused = silence == Engines.Silence.REFUSED;
    FleetBox known = fleet.find(id);
    // Who is to stay and does not listen has crashed; who leaves may still be at work.
    boolean isToStay = known != null && !known.isLeaving() && fleet.isListed(id);
    boolean isGone = silence == Engines.Silence.GONE || (isRefused && isToStay);
    reach.recordSilence(id, isGone, isRefused, clockNanos.getAsLong());
  }

  private void give(DomainKeeper keeper, BoxOrder order) {
    FleetBox box = fleet.find(order.boxId());
    if (box == null) {
      return;
    }
    long fence = lease.fence();
    engines.order(
        box,
        order,
        fence,
        outcome -> {
          if (outcome == Engines.OrderOutcome.TAKEN) {
            keeper.noteTaken(order, clockNanos.getAsLong());
          } else if (outcome == Engines.OrderOutcome.NOT_FITTING) {
            keeper.noteUnfit(order, clockNanos.getAsLong());
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
