package org.shoreroad.edge.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.traffic.UpstreamService;

/**
 * Selects the upstream of a request by what is open and what waits to be read there.
 *
 * <p>It answers loads of short and long prompts on replicas that are unevenly full, and many
 * processes that choose on reports of each other up to 0.4 s old. Used on the event loop.
 *
 * @since 0.2
 */
public final class UpstreamSelector {
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

  /** Cost of an upstream in another zone: two to three places of eighteen. */
  private static final double OTHER_ZONE_COST = 0.12;

  private static final double JITTER_COST = 0.04;

  private final UpstreamTable table;
  private final Backpressure backpressure;
  private final LongSupplier clockNanos;
  private final RandomGenerator random;
  private final String zone;
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

  /** Sets how many processes choose beside each other, this one among them. */
  public void setProcessCount(int count) {
    processCount = count;
  }

  /**
   * Returns an upstream with little to do that is fit for a request: the one with the least, or,
   * where many processes choose on old reports of each other, the one with the least of a few
   * drawn.
   *
   * @param service the service, not null
   * @param model the model asked for, or null for a plain service
   * @param tried the ids of upstreams that had the request already
   * @param targetLatencyMs the time within which an answer is wanted, in milliseconds
   * @return the upstream, or empty if none is there or none has a place
   */
  Optional<Target> choose(
      UpstreamService service, @Nullable String model, Set<String> tried, int targetLatencyMs) {
    EngineSpec engine = service.engine();
    long nowNanos = clockNanos.getAsLong();
    List<FleetBox> fit = new ArrayList<>();
    for (FleetBox box : table.candidates(service, model)) {
      UpstreamLoad load = table.loadOf(box.id());
      if (!tried.contains(box.id())
          && !isShunned(load, nowNanos)
          && backpressure.mayTake(box)
          && !isFull(load, box, engine, targetLatencyMs)) {
        fit.add(box);
      }
    }
    FleetBox best = null;
    double bestCost = Double.MAX_VALUE;
    for (FleetBox box : Shortlist.draw(fit, zone, processCount, random)) {
      double cost = cost(table.loadOf(box.id()), box, engine);
      if (cost < bestCost) {
        best = box;
        bestCost = cost;
      }
    }
    return best == null ? Optional.empty() : Optional.of(new Target(best, table.loadOf(best.id())));
  }

  /** Returns true if any upstream stands for the model or the service, free or not. */
  boolean hasAny(UpstreamService service, @Nullable String model) {
    return !table.candidates(service, model).isEmpty();
  }

  /**
   * Returns true if there are upstreams and this process may send a request to none of them now:
   * each rests, or has a limit without a turn.
   */
  boolean isHeldBack(UpstreamService service, @Nullable String model) {
    List<FleetBox> standing = table.candidates(service, model);
    return !standing.isEmpty() && standing.stream().noneMatch(backpressure::mayTake);
  }

  private boolean isShunned(UpstreamLoad load, long nowNanos) {
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
    // A request that waits at an engine is late and delays all after it. A caller that is refused
    // at
    // once returns to a free place.
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
}
