package org.shoreroad.edge.relay;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.cold.ColdUpstreams;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.HeartbeatAdditions.ColdReport;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.fleet.ReplicaId;
import org.shoreroad.traffic.ColdStart;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/**
 * Finds out which upstreams are cold, and limits the requests of this process to them.
 *
 * <p>Applies only to services that declare a cold rate. A replica is as cold as its coldest member.
 * Used on the event loop.
 *
 * @since 0.2
 */
public final class ColdGate {
  /**
   * Time after the return of a zone for which entries may have been written before it: an upstream
   * writes every 1.2 s, and the list is read every 0.9 s.
   */
  private static final long ENTRY_AGE_MS = 2_500;

  private final String self;
  private final ColdUpstreams cold;
  private final Fleet fleet;
  private final Supplier<@Nullable TrafficConfig> config;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final RelayCounters counters;
  private final Map<String, Incarnation> seen = new HashMap<>();

  /** Until when upstreams state to be cold whose rate is not declared, by their service. */
  private final Map<Incarnation, Long> unratedUntilNanos = new HashMap<>();

  private @Nullable TrafficConfig ratedConfig;
  private boolean isObservingStarts;
  private long seenListChanges = -1;
  private long coveredTargetChanges = -1;

  /**
   * Creates a gate without cold upstreams.
   *
   * @param self the name of this process among the sharers, not null
   * @param config supplies the configuration, null while there is none
   */
  public ColdGate(
      String self,
      Fleet fleet,
      Supplier<@Nullable TrafficConfig> config,
      LongSupplier clockNanos,
      EventLog log,
      RelayCounters counters) {
    this.self = self;
    this.cold = new ColdUpstreams(self);
    this.fleet = fleet;
    this.config = config;
    this.clockNanos = clockNanos;
    this.log = log;
    this.counters = counters;
  }

  /** Returns the name of this process among the sharers. */
  public String self() {
    return self;
  }

  /** Sets the processes that share the rate of each cold upstream; may be empty. */
  public void setSharers(Set<String> names) {
    cold.setSharers(names, clockNanos.getAsLong());
  }

  /** Sets whether requests under grants go to cold upstreams too; see {@link ColdUpstreams}. */
  public void setGranting(boolean isGranting) {
    Predicate<Incarnation> isGranted = isGranting ? this::isGranted : upstream -> false;
    cold.setGranted(isGranted, clockNanos.getAsLong());
  }

  /** Returns false if the upstream belongs to no fabric domain, so that nobody grants requests. */
  private boolean isGranted(Incarnation upstream) {
    FleetBox box = fleet.find(upstream.id());
    return box == null || box.domain() != null;
  }

  /**
   * Updates the table; called each tenth of a second.
   *
   * @param mayObserveStarts true if an upstream that appears from now on has just started: the list
   *     was read once, and there is traffic. Before, every upstream is new to this process
   */
  public void update(boolean mayObserveStarts) {
    observeStarts();
    applyUnrated();
    isObservingStarts = mayObserveStarts;
    cold.removeWarm(clockNanos.getAsLong());
    coverHeads();
  }

  /**
   * Applies the coldness that an entry of the list states.
   *
   * @param upstream the upstream that the entry describes, not null
   * @param remainingMs the time for which it stays cold, in milliseconds, 0 or more
   */
  public void recordEntry(Incarnation upstream, long remainingMs) {
    observeStarts();
    FleetBox box = fleet.find(upstream.id());
    ColdStart rate = box == null ? null : rateOf(box);
    if (box == null || !box.incarnation().equals(upstream)) {
      return;
    }
    if (rate == null) {
      recordUnrated(upstream, remainingMs);
      return;
    }
    boolean hasTurnedCold =
        cold.recordStatement(upstream, rate, remainingMs, clockNanos.getAsLong());
    writeIfCold(hasTurnedCold, upstream, "entry");
  }

  private void recordUnrated(Incarnation upstream, long remainingMs) {
    if (remainingMs > 0) {
      long believedMs = Math.min(ColdUpstreams.MAX_REMAINING_MS, remainingMs);
      unratedUntilNanos.put(
          upstream, clockNanos.getAsLong() + TimeUnit.MILLISECONDS.toNanos(believedMs));
    } else {
      unratedUntilNanos.remove(upstream);
    }
  }

  /** Applies what entries stated before their services declared a rate. */
  private void applyUnrated() {
    if (unratedUntilNanos.isEmpty()) {
      ratedConfig = config.get();
      return;
    }
    long nowNanos = clockNanos.getAsLong();
    unratedUntilNanos.values().removeIf(untilNanos -> untilNanos <= nowNanos);
    if (config.get() == ratedConfig) {
      return;
    }
    ratedConfig = config.get();
    Map<Incarnation, Long> stated = Map.copyOf(unratedUntilNanos);
    unratedUntilNanos.clear();
    stated.forEach(
        (upstream, untilNanos) ->
            recordEntry(upstream, TimeUnit.NANOSECONDS.toMillis(untilNanos - nowNanos)));
  }

  /** Applies the reports of another process; those of unknown upstreams are ignored. */
  public void applyReports(Collection<ColdReport> reports) {
    for (ColdReport report : reports) {
      FleetBox box = fleet.find(report.upstream().id());
      ColdStart rate = box == null ? null : rateOf(box);
      if (rate != null && box.incarnation().equals(report.upstream())) {
        boolean hasTurnedCold =
            cold.applyReport(report.upstream(), rate, report.remainingMs(), clockNanos.getAsLong());
        writeIfCold(hasTurnedCold, report.upstream(), "peer");
      }
    }
  }

  /** Returns what upstreams have stated to this process, for the other processes. */
  public Collection<ColdReport> reports() {
    return cold.statedRemainingMs(clockNanos.getAsLong()).entrySet().stream()
        .map(remaining -> new ColdReport(remaining.getKey(), remaining.getValue()))
        .toList();
  }

  /** Assumes that the upstreams of a zone are cold, because they had no requests for a while. */
  public void onZoneReturned(String zone) {
    for (FleetBox box : fleet.boxes()) {
      if (box.zone().equals(zone)) {
        assume(box, ENTRY_AGE_MS, "zone");
      }
    }
    coverHeads();
  }

  private void observeStarts() {
    if (fleet.listChanges() == seenListChanges) {
      return;
    }
    seenListChanges = fleet.listChanges();
    for (FleetBox box : fleet.boxes()) {
      Incarnation before = seen.put(box.id(), box.incarnation());
      if (isObservingStarts && !box.incarnation().equals(before)) {
        assume(box, 0, "start");
      }
    }
    seen.keySet().removeIf(id -> fleet.find(id) == null);
  }

  private void assume(FleetBox box, long firmMs, String source) {
    ColdStart rate = rateOf(box);
    if (rate != null) {
      boolean hasTurnedCold = cold.assume(box.incarnation(), rate, firmMs, clockNanos.getAsLong());
      writeIfCold(hasTurnedCold, box.incarnation(), source);
    }
  }

  /** Limits the heads of replicas with cold members. */
  private void coverHeads() {
    coveredTargetChanges = fleet.targetChanges();
    if (cold.isEmpty()) {
      return;
    }
    long nowNanos = clockNanos.getAsLong();
    Map<ReplicaId, Long> untilNanos = new HashMap<>();
    for (FleetBox box : fleet.boxes()) {
      long boxUntilNanos = cold.ownUntilNanos(box.incarnation());
      if (box.membership() != null && !box.isHead() && boxUntilNanos > nowNanos) {
        untilNanos.merge(box.membership().replica(), boxUntilNanos, Math::max);
      }
    }
    for (FleetBox box : fleet.boxes()) {
      ColdStart rate = box.isHead() ? rateOf(box) : null;
      if (rate != null) {
        long replicaUntilNanos =
            untilNanos.getOrDefault(box.membership().replica(), Long.MIN_VALUE / 2);
        boolean hasTurnedCold =
            cold.coverMembers(box.incarnation(), rate, replicaUntilNanos, nowNanos);
        writeIfCold(hasTurnedCold, box.incarnation(), "member");
      }
    }
  }

  private @Nullable ColdStart rateOf(FleetBox box) {
    TrafficConfig current = config.get();
    return current == null
        ? null
        : current.findService(box.service()).map(UpstreamService::coldStart).orElse(null);
  }

  private void writeIfCold(boolean hasTurnedCold, Incarnation upstream, String source) {
    if (hasTurnedCold) {
      counters.count("shoreroad.upstreams.turned_cold", source);
      log.write(
          "upstream_cold", "upstream", upstream.id(), "bornMs", upstream.bornMs(), "by", source);
    }
  }

  /** Returns the number of cold upstreams, heads of replicas with cold members included. */
  public int coldCount() {
    return cold.coldCount(clockNanos.getAsLong());
  }

  /** Returns true if requests to the upstream are limited because it is or has just been cold. */
  boolean isLimited(Incarnation upstream) {
    refresh();
    return !cold.isEmpty() && cold.isLimited(upstream, clockNanos.getAsLong());
  }

  /** Returns true if a turn of this process for the upstream is available, or none is needed. */
  public boolean hasTurn(FleetBox upstream) {
    refresh();
    return cold.isEmpty() || cold.hasTurn(upstream.incarnation(), clockNanos.getAsLong());
  }

  /** Takes a turn; returns false if the upstream is limited and none is available. */
  boolean takeTurn(Incarnation upstream) {
    return cold.isEmpty() || cold.takeTurn(upstream, clockNanos.getAsLong());
  }

  /** Returns true if a request may be sent right now, and counts it as sent. */
  boolean confirmSend(Incarnation upstream) {
    refresh();
    return cold.isEmpty() || cold.confirmSend(upstream, clockNanos.getAsLong());
  }

  /** Returns true if a request under a grant may be sent right now; see {@link ColdUpstreams}. */
  boolean permitsGranted(Incarnation upstream) {
    refresh();
    return cold.isEmpty() || cold.permitsGranted(upstream, clockNanos.getAsLong());
  }

  /** Returns the requests per second that may be granted at the upstream; infinite if warm. */
  public double grantsPerSecond(FleetBox upstream) {
    refresh();
    return cold.grantsPerSecond(upstream.incarnation(), clockNanos.getAsLong());
  }

  /** Includes what has changed in the list since the last update. */
  private void refresh() {
    observeStarts();
    if (config.get() != ratedConfig) {
      applyUnrated();
    }
    if (fleet.targetChanges() != coveredTargetChanges) {
      coverHeads();
    }
  }
}
