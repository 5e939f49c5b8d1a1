package org.shoreroad.edge.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.Demand;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.fleet.ReplicaId;
import org.shoreroad.traffic.UpstreamService;

/**
 * Chooses the upstream for a request, and notices replicas that stand still.
 *
 * <p>A replica whose engine lost a member takes requests on, and none of them moves. So a head from
 * which no request of this process got anything for longer than its passes can take is suspected:
 * it gets nothing new, and what it has is taken elsewhere. Used on the event loop.
 *
 * @since 0.2
 */
public final class UpstreamBoard {
  /** A head that gave this process something within this time is not suspected on a peer's word. */
  private static final long RECENT_PROGRESS_NANOS = TimeUnit.MILLISECONDS.toNanos(120);

  /** How long a suspected head is left alone before one request may try it again. */
  private static final long SUSPICION_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** A request that could not be moved from a silent head is tried again this soon. */
  private static final long MOVE_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(25);

  /** The part of the target latency that the prompts waiting at a replica may take to be read. */
  private static final double BACKLOG_PART = 0.6;

  /** A plain upstream queues as many again as it works on: its requests are short. */
  private static final int PLAIN_QUEUE_FACTOR = 2;

  private static final double FAILURE_COST = 3;

  /** An engine that is twice as slow as usual counts as one that is half full. */
  private static final double SLOWNESS_COST = 0.5;

  /** Passes are measured up to this long by chance: prompts of other processes are read in them. */
  private static final double USUAL_SLOWNESS = 1.5;

  /** A quarter of a second of prompts that wait counts as much as all places taken. */
  private static final double READ_SECONDS_PER_COST = 0.25;

  /**
   * What an upstream in another zone counts: two to three places of eighteen. At a quarter of it a
   * fifth to a third more bytes pass between zones, and no answer comes sooner (two days).
   */
  private static final double OTHER_ZONE_COST = 0.12;

  private static final double JITTER_COST = 0.04;

  private final Fleet fleet;
  private final LongSupplier clockNanos;
  private final RandomGenerator random;
  private final EventLog log;
  private final String zone;
  private final Map<String, UpstreamLoad> loads = new HashMap<>();
  private final Map<String, List<FleetBox>> openHeads = new HashMap<>();
  private final Map<String, List<FleetBox>> plainUpstreams = new HashMap<>();
  private final Set<ReplicaId> servingReplicas = new HashSet<>();
  private long seenChanges = -1;
  private boolean hasTraffic;
  private Consumer<String> onSuspicion = head -> {};
  private int processCount = 1;

  /** Creates a board over the fleet. */
  public UpstreamBoard(
      Fleet fleet, LongSupplier clockNanos, RandomGenerator random, EventLog log, String zone) {
    this.fleet = fleet;
    this.clockNanos = clockNanos;
    this.random = random;
    this.log = log;
    this.zone = zone;
  }

  /** Sets what takes the id of a head that this process finds to stand still. */
  public void setSuspicionListener(Consumer<String> listener) {
    onSuspicion = listener;
  }

  /** Sets how many processes choose beside each other, this one among them. */
  public void setProcessCount(int count) {
    processCount = count;
  }

  /**
   * Returns an upstream with little to do that is fit for a request: the one with the least, or,
   * where many processes choose on old words of each other, the one with the least of a few drawn.
   *
   * @param service the service, not null
   * @param model the model asked for, or null for a plain service
   * @param tried the ids of upstreams that had the request already
   * @param targetLatencyMs the time within which an answer is wanted, in milliseconds
   * @return the upstream, or empty if none is there or none has a place
   */
  Optional<Target> choose(
      UpstreamService service, @Nullable String model, Set<String> tried, int targetLatencyMs) {
    refresh();
    EngineSpec engine = service.engine();
    long nowNanos = clockNanos.getAsLong();
    List<FleetBox> fit = new ArrayList<>();
    for (FleetBox box : candidates(service, model)) {
      UpstreamLoad load = loadOf(box.id());
      if (!tried.contains(box.id())
          && !isShunned(load, nowNanos)
          && !isFull(load, box, engine, targetLatencyMs)) {
        fit.add(box);
      }
    }
    FleetBox best = null;
    double bestCost = Double.MAX_VALUE;
    for (FleetBox box : Shortlist.draw(fit, zone, processCount, random)) {
      double cost = cost(loadOf(box.id()), box, engine);
      if (cost < bestCost) {
        best = box;
        bestCost = cost;
      }
    }
    return best == null ? Optional.empty() : Optional.of(new Target(best, loadOf(best.id())));
  }

  /** Returns true if any upstream stands for the model or the service, free or not. */
  boolean hasAny(UpstreamService service, @Nullable String model) {
    refresh();
    return !candidates(service, model).isEmpty();
  }

  private List<FleetBox> candidates(UpstreamService service, @Nullable String model) {
    return service.engine() == null
        ? plainUpstreams.getOrDefault(service.name(), List.of())
        : openHeads.getOrDefault(service.name() + "/" + model, List.of());
  }

  private boolean isShunned(UpstreamLoad load, long nowNanos) {
    if (load.isAvoided(nowNanos)) {
      return true;
    }
    return load.isSuspected() && nowNanos - load.suspectedNanos() < SUSPICION_NANOS;
  }

  private static boolean isFull(
      UpstreamLoad load, FleetBox box, @Nullable EngineSpec engine, int targetLatencyMs) {
    if (engine == null) {
      return box.slots() > 0 && load.openCount() >= box.slots() * PLAIN_QUEUE_FACTOR;
    }
    double readMs = load.waitingPromptTokens() / engine.promptTokensPerSecond() * 1e3;
    // What waits at an engine is late, and makes all after it late; a caller that is refused at
    // once
    // comes back to a free place.
    return load.openCount() >= engine.slots()
        || (load.openCount() > 0 && readMs > BACKLOG_PART * targetLatencyMs);
  }

  private double cost(UpstreamLoad load, FleetBox box, @Nullable EngineSpec engine) {
    int places = Math.max(1, engine == null ? box.slots() : engine.slots());
    double cost = (double) load.openCount() / places;
    if (engine != null) {
      // The first event comes after what waits is read, and that holds up all others too.
      cost += load.waitingPromptTokens() / engine.promptTokensPerSecond() / READ_SECONDS_PER_COST;
    }
    cost += FAILURE_COST * load.failureMean();
    cost +=
        SLOWNESS_COST * Math.max(0, load.pace().slowness(clockNanos.getAsLong()) - USUAL_SLOWNESS);
    cost += box.zone().equals(zone) ? 0 : OTHER_ZONE_COST;
    return cost + JITTER_COST * random.nextDouble();
  }

  /** Returns the load of an upstream life. */
  UpstreamLoad loadOf(String boxId) {
    return loads.computeIfAbsent(boxId, id -> new UpstreamLoad());
  }

  /** Returns what this process has open at each upstream that has any. */
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

  /** Takes over what all other processes have open, with when each told it. */
  public void setElsewhere(Map<Heartbeat, Long> newest) {
    loads.values().forEach(UpstreamLoad::clearElsewhere);
    newest.forEach(
        (heartbeat, heardNanos) -> {
          for (Heartbeat.Load load : heartbeat.loads()) {
            long progressNanos = heardNanos - TimeUnit.MILLISECONDS.toNanos(load.progressAgeMs());
            loadOf(load.upstream())
                .addElsewhere(load.open(), load.waitingPromptTokens(), progressNanos);
          }
        });
  }

  /** Returns the heads that this process suspects now. */
  public Set<String> suspectedIds() {
    Set<String> suspected = new HashSet<>();
    loads.forEach(
        (id, load) -> {
          if (load.isSuspected()
              && clockNanos.getAsLong() - load.suspectedNanos() < SUSPICION_NANOS) {
            suspected.add(id);
          }
        });
    return suspected;
  }

  /**
   * Takes over a peer's suspicions, unless a head has moved for this process since, and moves the
   * requests of this process to other heads at once.
   *
   * <p>The peer has seen the head silent for more than a pass. A request that waits here for its
   * first event would find that out only after {@link SilenceLimit}, 0.25 s more, and would miss a
   * target of 0.3 to 0.4 s.
   *
   * @return true if a head is newly suspected
   */
  public boolean suspectByPeer(Set<String> boxIds) {
    boolean isNews = false;
    for (String id : boxIds) {
      isNews |= suspectByPeer(id, clockNanos.getAsLong());
    }
    return isNews;
  }

  private boolean suspectByPeer(String boxId, long nowNanos) {
    UpstreamLoad load = loadOf(boxId);
    boolean hasMoved =
        load.ownOpenCount() > 0 && nowNanos - load.progressNanos() < RECENT_PROGRESS_NANOS;
    if (hasMoved || load.isSuspected()) {
      return false;
    }
    load.suspect(nowNanos);
    log.write("replica_suspected", "head", boxId, "by", "peer", "ownOpen", load.ownOpenCount());
    List.copyOf(load.open()).forEach(Exchange::onStalled);
    return true;
  }

  /**
   * Returns how pressed each model of the service is: the requests open at its replicas, over all
   * processes, for each of their places. A model without any replica is pressed beyond measure.
   */
  public Demand demand(UpstreamService service) {
    refresh();
    Map<String, Double> pressures = new HashMap<>();
    Map<String, Integer> replicas = new HashMap<>();
    EngineSpec engine = service.engine();
    if (engine == null) {
      return Demand.NONE;
    }
    for (ModelShape model : engine.models()) {
      List<FleetBox> heads = candidates(service, model.name());
      int open = heads.stream().mapToInt(head -> loadOf(head.id()).openCount()).sum();
      double places = (double) heads.size() * engine.slots();
      pressures.put(model.name(), places == 0 ? Demand.NO_REPLICA_PRESSURE : open / places);
      replicas.put(model.name(), heads.size());
      hasTraffic |= open > 0;
    }
    return new Demand(pressures, replicas, hasTraffic);
  }

  /** Writes a line on each model of the service: heads, those suspected, and what they have. */
  public void summarize(UpstreamService service) {
    refresh();
    if (service.engine() == null) {
      return;
    }
    for (ModelShape model : service.engine().models()) {
      List<FleetBox> heads = candidates(service, model.name());
      int open = 0;
      long waitingTokens = 0;
      int suspected = 0;
      for (FleetBox head : heads) {
        UpstreamLoad load = loadOf(head.id());
        open += load.openCount();
        waitingTokens += load.waitingPromptTokens();
        suspected += load.isSuspected() ? 1 : 0;
      }
      log.write(
          "model_state",
          "model",
          model.name(),
          "heads",
          heads.size(),
          "suspected",
          suspected,
          "open",
          open,
          "places",
          heads.size() * service.engine().slots(),
          "waitingTokens",
          waitingTokens);
    }
  }

  /** Writes a line on how many boxes serve, and what the others are doing. */
  public void summarizeBoxes() {
    Map<String, Integer> counts = new TreeMap<>();
    for (FleetBox box : fleet.boxes()) {
      if (box.domain() != null) {
        counts.merge(describe(box), 1, Integer::sum);
      }
    }
    log.write("fleet_state", "boxes", counts);
  }

  private String describe(FleetBox box) {
    Membership membership = box.membership();
    if (!fleet.isOnList(box.id())) {
      return "off_list";
    }
    if (box.isLeaving()) {
      return "leaving";
    }
    if (membership == null) {
      boolean isBlank = box.model() == null && box.stagedModels().isEmpty();
      return isBlank ? "blank" : "idle";
    }
    return servingReplicas.contains(membership.replica())
        ? "serving"
        : membership.state().name().toLowerCase(Locale.ROOT);
  }

  /**
   * Looks for heads that stand still and takes their requests elsewhere.
   *
   * @return the time until the next head can have been silent for too long, in nanoseconds, or
   *     {@link Long#MAX_VALUE} if this process has nothing open at any head
   */
  public long findStalled() {
    refresh();
    long nowNanos = clockNanos.getAsLong();
    long nextNanos = Long.MAX_VALUE;
    for (UpstreamLoad load : loadsWithOwnRequests()) {
      for (Exchange exchange : new ArrayList<>(load.open())) {
        ModelEngine engine = exchange.engine();
        if (engine == null) {
          continue;
        }
        long limitNanos = SilenceLimit.nanos(engine, load, nowNanos);
        long leftNanos = limitNanos - (nowNanos - load.silentSinceNanos());
        if (leftNanos < 0) {
          stall(load, exchange, nowNanos);
        }
        nextNanos = Math.min(nextNanos, leftNanos < 0 ? MOVE_AGAIN_NANOS : leftNanos);
      }
    }
    return nextNanos;
  }

  /** Returns a copy, since taking requests elsewhere changes what is open. */
  private List<UpstreamLoad> loadsWithOwnRequests() {
    return loads.values().stream().filter(load -> load.ownOpenCount() > 0).toList();
  }

  private void stall(UpstreamLoad load, Exchange exchange, long nowNanos) {
    if (!load.isSuspected()) {
      load.suspect(nowNanos);
      log.write(
          "replica_suspected",
          "head",
          exchange.targetId(),
          "by",
          "silence",
          "silentMs",
          TimeUnit.NANOSECONDS.toMillis(nowNanos - load.silentSinceNanos()),
          "open",
          load.openCount(),
          "waitingTokens",
          load.waitingPromptTokens());
      onSuspicion.accept(exchange.targetId());
    }
    exchange.onStalled();
  }

  /** Derives what stands from the fleet, if that has changed. */
  private void refresh() {
    if (fleet.targetChanges() == seenChanges) {
      return;
    }
    seenChanges = fleet.targetChanges();
    openHeads.clear();
    plainUpstreams.clear();
    servingReplicas.clear();
    for (FleetBox box : fleet.boxes()) {
      if (box.isLeaving() || !fleet.isOnList(box.id())) {
        continue;
      }
      if (box.domain() == null) {
        plainUpstreams.computeIfAbsent(box.service(), name -> new ArrayList<>()).add(box);
      } else if (box.isOpenHead() && box.model() != null) {
        openHeads
            .computeIfAbsent(box.service() + "/" + box.model(), name -> new ArrayList<>())
            .add(box);
        noteFormation(box);
        servingReplicas.add(box.membership().replica());
      }
    }
    loads.keySet().removeIf(id -> fleet.find(id) == null && loads.get(id).open().isEmpty());
  }

  private long countSoundMembers(ReplicaId replica) {
    return fleet.boxes().stream()
        .filter(box -> box.membership() != null && box.membership().replica().equals(replica))
        .filter(box -> fleet.isListed(box.id()))
        .count();
  }

  private void noteFormation(FleetBox head) {
    Membership membership = head.membership();
    UpstreamLoad load = loadOf(head.id());
    // A new formation at the same head starts without the old one's suspicion.
    if (membership != null && load.takeFormation(membership.replica())) {
      log.write(
          "replica_open",
          "replica",
          membership.replica(),
          "head",
          head.id(),
          "members",
          countSoundMembers(membership.replica()));
    }
  }
}
