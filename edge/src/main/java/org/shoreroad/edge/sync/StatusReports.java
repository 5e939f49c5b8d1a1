package org.shoreroad.edge.sync;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.FleetBox;

/**
 * Order of the engine states that this process learns: from reports to it, reports to peers, the
 * effects of accepted orders, and entries of the list. Newer states override entries that may be
 * older.
 *
 * <p>An incarnation of an engine never joins a formation that is earlier than one it has seen. So a
 * state with an earlier formation than the latest known one of the box is older, whatever its
 * source and however long ago the last report was. Two states without a membership, or with the
 * same formation, show no order.
 *
 * <p>A store restored from a copy lists upstreams as they were seconds before. Until the lost
 * records must have been written again, such an entry does not remove a box from its replica:
 * otherwise a partitioned head would seem to have left, and its members would be assigned to
 * another replica. Not thread-safe: used on the event loop.
 */
final class StatusReports {
  /**
   * Time after a report in which it overrides entries, because an entry may have been written, and
   * its read sent, up to this much earlier.
   */
  private static final long REPORT_VALID_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final long NO_ERA = Long.MIN_VALUE;

  private final LongSupplier clockNanos;
  private final Map<String, Long> reportedAtNanos = new HashMap<>();
  private final Map<String, StateOrigin> origins = new HashMap<>();
  private final Map<String, Long> latestEpochs = new HashMap<>();

  /** Upstreams whose newest entry was overridden by newer known state. */
  private final Set<String> overriddenIds = new HashSet<>();

  private long era = NO_ERA;
  private long copySuspectedUntilNanos = Long.MIN_VALUE / 2;

  StatusReports(LongSupplier clockNanos) {
    this.clockNanos = clockNanos;
  }

  /**
   * Records a report, or the effect of an accepted order.
   *
   * @param isChange true if it changes the known state; a peer that repeats a state of the engine
   *     does not become its source
   */
  void note(FleetBox report, StateOrigin.Source source, boolean isChange) {
    reportedAtNanos.put(report.id(), clockNanos.getAsLong());
    if (isChange || source != StateOrigin.Source.PEER) {
      origins.put(report.id(), new StateOrigin(source, clockNanos.getAsLong()));
    }
    noteEpoch(report);
  }

  private void noteEpoch(FleetBox box) {
    latestEpochs.merge(box.id(), epochOf(box), Math::max);
  }

  /** Returns true if a state shows an earlier formation than a known one of the box. */
  boolean isOfEarlierFormation(FleetBox state) {
    return state.membership() != null && epochOf(state) < latestEpoch(state.id());
  }

  /** Returns true if a state shows a later formation than all known ones of the box. */
  boolean isOfLaterFormation(FleetBox state) {
    return epochOf(state) > latestEpoch(state.id());
  }

  private long latestEpoch(String id) {
    return latestEpochs.getOrDefault(id, 0L);
  }

  /** Records the store's era in which an entry was read. */
  void noteEra(long entryEra) {
    if (entryEra <= era) {
      return;
    }
    if (era != NO_ERA) {
      copySuspectedUntilNanos = clockNanos.getAsLong() + EntryHistory.HOLD_NANOS;
    }
    era = entryEra;
  }

  /** Returns where the known engine state of a box came from, or null if it is not known. */
  @Nullable StateOrigin origin(String id) {
    return origins.get(id);
  }

  /** Returns the entry with the known engine state, if the entry may be older than that. */
  FleetBox withNewerState(@Nullable FleetBox before, FleetBox listed) {
    FleetBox newer = before == null ? listed : chooseNewerState(before, listed);
    noteEpoch(newer);
    if (before == null || !Objects.equals(before.membership(), newer.membership())) {
      origins.put(listed.id(), new StateOrigin(StateOrigin.Source.LIST, clockNanos.getAsLong()));
    }
    return newer;
  }

  private FleetBox chooseNewerState(FleetBox before, FleetBox listed) {
    overriddenIds.remove(listed.id());
    if (isOfEarlierFormation(listed)) {
      return withStateOf(before, listed);
    }
    boolean mayBeOlder = hasRecentReport(listed.id()) || mayBeOfCopy();
    if (!mayBeOlder || isOfLaterFormation(listed)) {
      return listed;
    }
    overriddenIds.add(listed.id());
    return withStateOf(before, listed);
  }

  private static FleetBox withStateOf(FleetBox before, FleetBox listed) {
    return listed.withEngineState(before.model(), before.stagedModels(), before.membership());
  }

  /**
   * Returns the upstreams whose entries were overridden and may be applied by now, each once.
   *
   * <p>An upstream writes no further entry while nothing changes, so without this an outdated
   * report would override its entry for ever.
   */
  Set<String> takeReleased() {
    if (mayBeOfCopy()) {
      return Set.of();
    }
    Set<String> released = new HashSet<>(overriddenIds);
    released.removeIf(this::hasRecentReport);
    overriddenIds.removeAll(released);
    return released;
  }

  /** Removes all reports of an upstream. */
  void remove(String id) {
    reportedAtNanos.remove(id);
    latestEpochs.remove(id);
    origins.remove(id);
    overriddenIds.remove(id);
  }

  /** Returns true while entries may come from a copy that is older than the known state. */
  private boolean mayBeOfCopy() {
    return clockNanos.getAsLong() - copySuspectedUntilNanos < 0;
  }

  private boolean hasRecentReport(String id) {
    Long reportNanos = reportedAtNanos.get(id);
    return reportNanos != null && clockNanos.getAsLong() - reportNanos < REPORT_VALID_NANOS;
  }

  private static long epochOf(FleetBox box) {
    return box.membership() == null ? 0 : box.membership().replica().epoch();
  }
}
