package org.shoreroad.edge.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.traffic.UpstreamService;

/**
 * Selects the upstream of a request by the open requests and the unread prompts there.
 *
 * <p>Suited to mixed short and long prompts on unevenly loaded replicas, and to many processes that
 * choose on load reports of each other, which are up to 0.4 s old. Used on the event loop.
 *
 * @since 0.2
 */
public final class UpstreamSelector {
  /** Maximum time to read the prompts that wait at a replica, as a part of the target latency. */
  private static final double MAX_BACKLOG_FRACTION = 0.6;

  /** Maximum open requests per slot of a plain upstream; one may queue, as requests are short. */
  private static final int PLAIN_QUEUE_FACTOR = 2;

  private static final double FAILURE_COST = 3;

  /** Cost of each unit of slowness above the usual one: as much as half of all slots taken. */
  private static final double SLOWNESS_COST = 0.5;

  /** Slowness that occurs by chance, because passes also read prompts of other processes. */
  private static final double USUAL_SLOWNESS = 1.5;

  /** Time to read the waiting prompts that costs as much as all slots taken, in seconds. */
  private static final double READ_SECONDS_PER_COST = 0.25;

  /** Cost of an upstream in another zone: as much as two to three of eighteen slots taken. */
  private static final double OTHER_ZONE_COST = 0.12;

  private static final double JITTER_COST = 0.04;

  private final UpstreamTable table;
  private final Backpressure backpressure;
  private final LongSupplier clockNanos;
  private final RandomGenerator random;
  private final String zone;
  private Predicate<FleetBox> reachability = box -> true;
  private Predicate<FleetBox> pathLoss = box -> false;
  private int processCount = 1;

  /**
   * Creates a selector.
   *
   * @param zone the availability zone of this process, not null
   */
  public UpstreamSelector(
      UpstreamTable table,
      Backpressure backpressure,
      LongSupplier clockNanos,
      RandomGenerator random,
      String zone) {
    this.table = table;
    this.backpressure = backpressure;
    this.clockNanos = clockNanos;
    this.random = random;
    this.zone = zone;
  }

  /**
   * Sets the checks of the paths to an upstream.
   *
   * @param isReachable returns true if a request may reach it, directly or not, not null
   * @param isPathLost returns true if this process has no path to it itself, not null
   */
  public void setPaths(Predicate<FleetBox> isReachable, Predicate<FleetBox> isPathLost) {
    reachability = isReachable;
    pathLoss = isPathLost;
  }

  /** Sets the number of processes that choose independently, including this one. */
  public void setProcessCount(int count) {
    processCount = count;
  }

  /**
   * Returns the upstream of least cost that can take a request. If many processes choose on old
   * reports of each other, it is the best of a random sample.
   *
   * @param service the service, not null
   * @param model the model asked for, or null for a plain service
   * @param tried the ids of the upstreams that must not be tried again
   * @param targetLatencyMs the target time to the first event of the answer, in milliseconds
   * @return the upstream, or empty if there is none that can take the request
   */
  Optional<Target> choose(
      UpstreamService service, @Nullable String model, Set<String> tried, int targetLatencyMs) {
    EngineSpec engine = service.engine();
    long nowNanos = clockNanos.getAsLong();
    List<FleetBox> eligible = new ArrayList<>();
    for (FleetBox box : table.candidates(service, model)) {
      UpstreamLoad load = table.loadOf(box.id());
      if (!tried.contains(box.id())
          && !isExcluded(load, nowNanos)
          && backpressure.maySendTo(box)
          && reachability.test(box)
          && !isFull(load, box, engine, targetLatencyMs)) {
        eligible.add(box);
      }
    }
    FleetBox best = null;
    double bestCost = Double.MAX_VALUE;
    for (FleetBox box : Shortlist.draw(preferDirect(eligible), zone, processCount, random)) {
      double cost = cost(table.loadOf(box.id()), box, engine);
      if (cost < bestCost) {
        best = box;
        bestCost = cost;
      }
    }
    return best == null ? Optional.empty() : Optional.of(new Target(best, table.loadOf(best.id())));
  }

  /** Returns the upstreams to which this process itself has a path, or all if there are none. */
  private List<FleetBox> preferDirect(List<FleetBox> eligible) {
    List<FleetBox> direct = new ArrayList<>(eligible);
    direct.removeIf(pathLoss);
    return direct.isEmpty() ? eligible : direct;
  }

  /**
   * Returns the upstream with this id if this process may send it a request under a grant now,
   * however many requests are open there.
   */
  Optional<Target> find(
      UpstreamService service, @Nullable String model, String id, Set<String> tried) {
    long nowNanos = clockNanos.getAsLong();
    UpstreamLoad load = table.loadOf(id);
    return table.candidates(service, model).stream()
        .filter(box -> box.id().equals(id) && !tried.contains(id))
        .filter(box -> !isExcluded(load, nowNanos) && backpressure.permitsGranted(box))
        .filter(reachability)
        .map(box -> new Target(box, load))
        .findFirst();
  }

  /** Returns true if there is an upstream for the model or the service, free or not. */
  boolean hasAny(UpstreamService service, @Nullable String model) {
    return !table.candidates(service, model).isEmpty();
  }

  /** Returns how many upstreams are in each state for a request, for the log. */
  String describe(
      UpstreamService service, @Nullable String model, Set<String> tried, int targetLatencyMs) {
    Map<String, Integer> counts = new TreeMap<>();
    for (FleetBox box : table.candidates(service, model)) {
      boolean isTried = tried.contains(box.id());
      counts.merge(isTried ? "tried" : stateOf(service, box, targetLatencyMs), 1, Integer::sum);
    }
    return counts.toString();
  }

  private String stateOf(UpstreamService service, FleetBox box, int targetLatencyMs) {
    long nowNanos = clockNanos.getAsLong();
    UpstreamLoad load = table.loadOf(box.id());
    if (load.isAvoided(nowNanos)) {
      return "avoided";
    }
    if (load.isSuspectedAt(nowNanos)) {
      return "suspected";
    }
    if (!backpressure.maySendTo(box)) {
      return "held_back";
    }
    if (!reachability.test(box)) {
      return "no_path";
    }
    return isFull(load, box, service.engine(), targetLatencyMs) ? "full" : "free";
  }

  /**
   * Returns why this process may send none of the upstreams a request now, or null if it may send
   * one, or if there are no upstreams. No process has a path to any, or each is in a rest, has a
   * limit without a turn due, is cold without a turn due, or is in an evacuated zone.
   */
  @Nullable Refusal findHeldBack(UpstreamService service, @Nullable String model) {
    List<FleetBox> upstreams = table.candidates(service, model);
    if (upstreams.isEmpty()) {
      return table.isEvacuated(service, model) ? Refusal.EVACUATED : null;
    }
    if (upstreams.stream().noneMatch(reachability)) {
      return Refusal.NO_PATH;
    }
    if (upstreams.stream().anyMatch(backpressure::maySendTo)) {
      return null;
    }
    boolean isCold = upstreams.stream().anyMatch(backpressure::isHeldBackByCold);
    return isCold ? Refusal.COLD : Refusal.HELD_BACK;
  }

  /** Returns true if there are upstreams, but no path to any of them, directly or not. */
  boolean isWithoutPath(UpstreamService service, @Nullable String model) {
    List<FleetBox> upstreams = table.candidates(service, model);
    return !upstreams.isEmpty() && upstreams.stream().noneMatch(reachability);
  }

  private boolean isExcluded(UpstreamLoad load, long nowNanos) {
    if (load.isAvoided(nowNanos)) {
      return true;
    }
    return load.isSuspectedAt(nowNanos);
  }

  private static boolean isFull(
      UpstreamLoad load, FleetBox box, @Nullable EngineSpec engine, int targetLatencyMs) {
    if (engine == null) {
      return box.slots() > 0 && load.openCount() >= box.slots() * PLAIN_QUEUE_FACTOR;
    }
    double readMs = load.waitingPromptTokens() / engine.promptTokensPerSecond() * 1e3;
    // A request that waits at an engine is late and delays all after it (head-of-line blocking). A
    // caller that is refused at once can retry where a slot is free.
    return load.openCount() >= engine.slots()
        || (load.openCount() > 0 && readMs > MAX_BACKLOG_FRACTION * targetLatencyMs);
  }

  private double cost(UpstreamLoad load, FleetBox box, @Nullable EngineSpec engine) {
    int slots = Math.max(1, engine == null ? box.slots() : engine.slots());
    double cost = (double) load.openCount() / slots;
    if (engine != null) {
      // The first event comes after the waiting prompts are read, which delays all requests there.
      cost += load.waitingPromptTokens() / engine.promptTokensPerSecond() / READ_SECONDS_PER_COST;
    }
    cost += FAILURE_COST * load.failureMean();
    cost +=
        SLOWNESS_COST * Math.max(0, load.pace().slowness(clockNanos.getAsLong()) - USUAL_SLOWNESS);
    cost += box.zone().equals(zone) ? 0 : OTHER_ZONE_COST;
    return cost + JITTER_COST * random.nextDouble();
  }
}
