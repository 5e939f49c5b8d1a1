package org.shoreroad.edge.sync;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.shoreroad.fleet.FleetBox;

/**
 * The newest status reports that upstreams returned directly, as far as they override entries of
 * the list that may be older.
 *
 * <p>A store that comes back from a copy lists upstreams as they were seconds before. Until the
 * lost records must have been written again, such an entry does not remove a box from its replica:
 * otherwise a partitioned head would seem to have left, and its members would be assigned to
 * another replica. Used on the event loop.
 */
final class StatusReports {
  /**
   * A report overrides entries read within this time after it, because an entry may have been
   * written, and its read sent, up to this much earlier.
   */
  private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  private static final long NO_ERA = Long.MIN_VALUE;

  private final LongSupplier clockNanos;
  private final Map<String, Long> reportedAtNanos = new HashMap<>();
  private final Map<String, Long> reportedEpochs = new HashMap<>();

  /** Upstreams whose newest entry was read while newer known state overrode it. */
  private final Set<String> heldBackIds = new HashSet<>();

  private long era = NO_ERA;
  private long copyUntilNanos = Long.MIN_VALUE / 2;

  StatusReports(LongSupplier clockNanos) {
    this.clockNanos = clockNanos;
  }

  /** Takes note of a report. */
  void note(FleetBox report) {
    reportedAtNanos.put(report.id(), clockNanos.getAsLong());
    reportedEpochs.merge(report.id(), epochOf(report), Math::max);
  }

  /** Records the store's era in which an entry was read. */
  void noteEra(long entryEra) {
    if (entryEra <= era) {
      return;
    }
    if (era != NO_ERA) {
      copyUntilNanos = clockNanos.getAsLong() + EntryHistory.HOLD_NANOS;
    }
    era = entryEra;
  }

  /** Returns the entry with the state that is known, if the entry may be older than that. */
  FleetBox withNewerState(FleetBox before, FleetBox listed) {
    heldBackIds.remove(listed.id());
    long knownEpoch = Math.max(epochOf(before), reportedEpochs.getOrDefault(listed.id(), 0L));
    boolean mayBeOlder = hasRecent(listed.id()) || mayBeOfCopy();
    if (!mayBeOlder || epochOf(listed) > knownEpoch) {
      return listed;
    }
    heldBackIds.add(listed.id());
    return listed.withEngineState(before.model(), before.stagedModels(), before.membership());
  }

  /**
   * Returns the upstreams whose entries were held back and count by now, each once.
   *
   * <p>An upstream writes no further entry while nothing changes, so a report that has become wrong
   * would stay in force.
   */
  Set<String> takeReleased() {
    if (mayBeOfCopy()) {
      return Set.of();
    }
    Set<String> outdated = new HashSet<>(heldBackIds);
    outdated.removeIf(this::hasRecent);
    heldBackIds.removeAll(outdated);
    return outdated;
  }

  /** Forgets an upstream. */
  void forget(String id) {
    reportedAtNanos.remove(id);
    reportedEpochs.remove(id);
    heldBackIds.remove(id);
  }

  /** Returns true while entries may come from a copy that is older than the known state. */
  private boolean mayBeOfCopy() {
    return clockNanos.getAsLong() - copyUntilNanos < 0;
  }

  private boolean hasRecent(String id) {
    Long reportNanos = reportedAtNanos.get(id);
    return reportNanos != null && clockNanos.getAsLong() - reportNanos < REPORT_NANOS;
  }

  private static long epochOf(FleetBox box) {
    return box.membership() == null ? 0 : box.membership().replica().epoch();
  }
}
