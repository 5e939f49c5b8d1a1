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
import org.shoreroad.fleet.MemberState;
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
  /** Between two decisions while something is under way; answers of engines come in between. */
  private static final int BUSY_TICK_MS = 50;

  /** Between two decisions else: only the list can bring news that is not told at once. */
  private static final int CALM_TICK_MS = 150;

  /** A process that keeps no domain only answers the questions of others, this often. */
  private static final int TICK_WITHOUT_DOMAIN_MS = 200;

  /** Between two questions to a head that ends its work. */
  private static final long BUSY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(140);

  /** Between two questions to a box that joins, or whose replica stands still. */
  private static final long FORMING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** A word of an engine confirms where it stands for this long after it was asked. */
  private static final long CONFIRMED_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final long CONFIRMING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** While weights are loaded, which takes seconds. */
  private static final long LOADING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** To a box that did not answer, for the first second. */
  private static final long NEWLY_SILENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(130);

  /** To a box that did not answer. */
  private static final long SILENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final long NEWLY_SILENT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Between two questions to a box on behalf of a peer, which has its own answers besides. */
  private static final long PEERS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** The members of a suspected head are asked for this long, about six times each. */
  private static final long DOUBTFUL_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** A formation is asked after quickly for this long; then it must be loading. */
  private static final long QUICK_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

  /** Boxes and replicas that are gone are forgotten this often. */
  private static final long FORGET_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * Beyond the time in which an engine breaks a replica that lost a member. That time runs from the
   * loss, and this process counts from the first silence, which is later.
   */
  private static final int STALL_MARGIN_MS = 400;

  /**
   * A leaving box listens no more but ends its work for ten seconds at most; and a second beyond.
   */
  private static final long LEAVING_NANOS = TimeUnit.SECONDS.toNanos(11);

  private final Clockwork clockwork;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Fleet fleet;
  private final DomainLease lease;
  private final Engines engines;
  private final EngineContact contact;
  private final Supplier<@Nullable TrafficConfig> config;
  private final Supplier<Set<String>> suspectedHeads;
  private final Function<UpstreamService, Demand> demands;
  private final Doubts doubts;
  private final Supplier<Set<String>> alivePeers;
  private final long certainNanos;
  private final Set<ReplicaId> headsSeen = new HashSet<>();
  private final Map<String, DomainKeeper> keepers = new HashMap<>();
  private final Map<String, Long> busySinceNanos = new HashMap<>();
  private final Map<String, Long> suspectedSinceNanos = new HashMap<>();
  private final Map<String, ServiceDomains> domainsByService = new HashMap<>();
  private long forgottenNanos;
  private boolean isHurried;

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
    this.clockwork = new Clockwork(loop, log);
    this.clockNanos = clockNanos;
    this.log = log;
    this.fleet = fleet;
    this.lease = lease;
    this.engines = engines;
    this.contact = new EngineContact(clockNanos, log, fleet, engines);
    contact.setAnswerListener(this::hurry);
    this.config = config;
    this.suspectedHeads = suspectedHeads;
    this.demands = demands;
    this.doubts = doubts;
    this.alivePeers = alivePeers;
    this.certainNanos = TimeUnit.MILLISECONDS.toNanos(stallMs + STALL_MARGIN_MS);
  }

  /** Sets what is done when the head of a replica has said something that others wait for. */
  public void setUrgentNewsListener(Runnable listener) {
    contact.setUrgentNewsListener(listener);
  }

  /** Starts to keep. */
  public void start() {
    clockwork.every(this::tickMs, "replicas", this::tick);
  }

  private int tickMs() {
    if (!lease.holdsAny()) {
      return TICK_WITHOUT_DOMAIN_MS;
    }
    boolean isCalm = suspectedSinceNanos.isEmpty() && busySinceNanos.isEmpty();
    return isCalm ? CALM_TICK_MS : BUSY_TICK_MS;
  }

  /** Decides anew right after what happens now, in place of at the next tick. */
  public void hurry() {
    if (!isHurried && lease.holdsAny()) {
      isHurried = true;
      clockwork.once(0, "replicas", this::keepHurried);
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
      forgetOthers();
    }
  }

  private void keepAll() {
    TrafficConfig current = config.get();
    if (current == null) {
      return;
    }
    if (!lease.holdsAny()) {
      keepers.clear();
      busySinceNanos.clear();
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
   * Returns what engines have newly said to this process; the next call returns only later news.
   */
  public List<FleetBox> takeNews() {
    return contact.takeNews();
  }

  /** Returns the boxes that peers asked about and that do not answer this process either. */
  public Set<String> silentForPeers() {
    long nowNanos = clockNanos.getAsLong();
    Set<String> silent = new HashSet<>();
    for (String id : doubts.askedByPeers().keySet()) {
      if (contact.reach().reach(id, false, nowNanos) != Reach.LIKELY) {
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
              contact.ask(
                  known == null ? strangerAt(id, address) : known, PEERS_INTERVAL_NANOS, nowNanos);
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
    contact.reach().retain(known);
    headsSeen.retainAll(replicas);
  }

  private void keepService(UpstreamService service, EngineSpec engine) {
    ServiceDomains known = domainsByService.get(service.name());
    if (known == null || known.changes() != fleet.changes() || known.engine() != engine) {
      known = deriveDomains(service, engine);
      domainsByService.put(service.name(), known);
    }
    ReplicaPlan plan = known.plan();
    Set<String> suspected = findNewlySuspected();
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
    boxes.forEach(this::findUnlistedHead);
    Set<String> doubtful = findDoubtful(boxes, suspected);
    askBoxes(key, keeper, boxes, doubtful, nowNanos);
    List<BoxSight> sights = new ArrayList<>();
    for (FleetBox box : boxes) {
      FleetBox newest = fleet.find(box.id());
      if (newest != null) {
        sights.add(see(newest, doubtful.contains(box.id()), nowNanos));
      }
    }
    boolean neededWords = keeper.needsWords();
    keeper
        .decide(nowNanos, engine, sights, plan, headsSeen, demand)
        .forEach(order -> give(keeper, engine, order));
    if (keeper.needsWords() && !neededWords) {
      // The boxes are asked at once.
      hurry();
    }
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

  /**
   * Makes the head of a box's replica known by what the replica's name tells, if the list does not
   * hold it: it may serve on without the store.
   */
  private void findUnlistedHead(FleetBox box) {
    Membership membership = box.membership();
    if (membership == null || headsSeen.contains(membership.replica())) {
      return;
    }
    ReplicaId replica = membership.replica();
    String headId = replica.headId();
    String address = replica.headAddress();
    if (headId == null || address == null || fleet.find(headId) != null) {
      return;
    }
    Membership assumed = new Membership(replica, 0, MemberState.OPEN);
    boolean mayLive =
        fleet.addUnlisted(
            new FleetBox(
                headId,
                box.service(),
                address,
                box.zone(),
                box.slots(),
                true,
                box.domain(),
                null,
                List.of(),
                assumed));
    if (!mayLive) {
      headsSeen.add(replica);
    }
  }

  private BoxSight see(FleetBox box, boolean isDoubtful, long nowNanos) {
    ReachBook reach = contact.reach();
    boolean isListed = fleet.isListed(box.id());
    Reach reached = reach.reach(box.id(), isDoubtful, nowNanos);
    if (reached == Reach.LOST) {
      // The others need time to ask the box, so they are told before the list tells.
      doubts.raise(box.id(), box.address());
    }
    if (reached == Reach.LOST && !isListed) {
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

  /** Returns the members of all replicas whose heads are suspected. */
  private static Set<String> findDoubtful(List<FleetBox> boxes, Set<String> suspected) {
    Set<ReplicaId> replicas = new HashSet<>();
    for (FleetBox box : boxes) {
      if (box.membership() != null && suspected.contains(box.id())) {
        replicas.add(box.membership().replica());
      }
    }
    Set<String> doubtful = new HashSet<>();
    for (FleetBox box : boxes) {
      if (box.membership() != null && replicas.contains(box.membership().replica())) {
        doubtful.add(box.id());
      }
    }
    return doubtful;
  }

  /** Asks the boxes of a domain, each as often as what happens there needs. */
  private void askBoxes(
      String key, DomainKeeper keeper, List<FleetBox> boxes, Set<String> doubtful, long nowNanos) {
    boolean isBusy = keeper.isBusy();
    if (!isBusy) {
      busySinceNanos.remove(key);
    }
    long sinceNanos = isBusy ? busySinceNanos.computeIfAbsent(key, name -> nowNanos) : nowNanos;
    boolean isQuick = nowNanos - sinceNanos < QUICK_NANOS;
    Set<String> forming = keeper.formingIds();
    Set<String> closing = keeper.closingHeadIds();
    for (FleetBox box : boxes) {
      String id = box.id();
      if (contact.reach().isSilent(id) || !fleet.isListed(id)) {
        boolean isNew = contact.reach().silentNanos(id, nowNanos) < NEWLY_SILENT_NANOS;
        long intervalNanos = isNew ? NEWLY_SILENT_INTERVAL_NANOS : SILENT_INTERVAL_NANOS;
        contact.ask(box, intervalNanos, nowNanos);
      } else if (doubtful.contains(id)) {
        contact.ask(box, FORMING_INTERVAL_NANOS, nowNanos);
      } else if (forming.contains(id) && contact.reportsCount(id, nowNanos)) {
        contact.ask(box, isQuick ? FORMING_INTERVAL_NANOS : LOADING_INTERVAL_NANOS, nowNanos);
      } else if (closing.contains(id)) {
        contact.ask(box, BUSY_INTERVAL_NANOS, nowNanos);
      }
      if (keeper.needsWords()) {
        contact.ask(box, CONFIRMING_INTERVAL_NANOS, nowNanos);
      }
    }
  }

  private void give(DomainKeeper keeper, EngineSpec engine, BoxOrder order) {
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
            contact.noteTaken(order, engine.reportLagMs());
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
