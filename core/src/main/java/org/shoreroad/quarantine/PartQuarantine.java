package org.shoreroad.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.shoreroad.fleet.Incarnation;

/**
 * Quarantine of prompt parts that crash upstreams: decides which parts are no longer sent to any.
 *
 * <p>A part of a prompt may crash every upstream that begins to answer a request with it, while the
 * requests differ in all else. {@link CrashQuarantine} identifies requests and can't learn from one
 * of them for the next. This class counts the crashes under each shared part, and quarantines the
 * parts that explain them and that no upstream has answered since; {@link CrashExplanation} has the
 * rules.
 *
 * <p>Nothing is kept for a request that meets no crash. Processes exchange reports and merge them.
 * This class reads no clock: times are passed in, in nanoseconds of the monotonic clock. Not
 * thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class PartQuarantine {
  /** Crashes that are needed, of which at most two may be under the same request. */
  static final int QUARANTINE_CRASHES = 3;

  /** Initial value for {@link #setSettleMs}: two urgent heartbeats and their processing. */
  public static final int DEFAULT_SETTLE_MS = 150;

  /**
   * Time since the last crash after which one request with a quarantined part is tried: a new
   * version of the upstreams may take it.
   */
  static final long TRIAL_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** Time after which crashes are forgotten that led to no quarantine. */
  static final long KEEP_NANOS = TimeUnit.MINUTES.toNanos(10);

  /** Time after the last crash for which a quarantine is kept, if no trial has ended it. */
  static final long KEEP_QUARANTINED_NANOS = TimeUnit.DAYS.toNanos(1);

  /** Maximum number of histories; 0.4 KB each with three crashes. */
  static final int MAX_PARTS = 256;

  /** Time for which a change is reported: five heartbeats, so that a lost one does no harm. */
  private static final long ANNOUNCE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Interval at which parts that are quarantined for long are reported to all processes. */
  private static final long SETTLED_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Maximum number of parts in one heartbeat: 150 bytes each with three crashes, 4.8 KB. */
  private static final int MAX_REPORTED = 32;

  private final Map<PromptPart, PartHistory> histories = new LinkedHashMap<>();
  private List<Set<PromptPart>> quarantined = List.of();
  private long settleNanos = TimeUnit.MILLISECONDS.toNanos(DEFAULT_SETTLE_MS);
  private int lastReportedIndex;
  private long settledReportNanos = Long.MIN_VALUE / 2;

  /**
   * Sets the least age of a crash that counts: the time in which each process learns of the
   * requests that the others had at the upstream, in milliseconds.
   */
  public void setSettleMs(int settleMs) {
    settleNanos = TimeUnit.MILLISECONDS.toNanos(settleMs);
  }

  /** Returns true if no crash under any part is known. */
  public boolean isEmpty() {
    return histories.isEmpty();
  }

  /** Returns true if a part has several crashes that are not refuted, or is quarantined. */
  public boolean hasSuspects() {
    for (PartHistory history : histories.values()) {
      if (history.size() > 1 && !history.isRefuted()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Records that an upstream crashed while a request with these parts was about to begin there, or
   * had just begun.
   *
   * @param parts the shared parts of the request, not null
   * @param upstream the upstream, not null
   * @param request the first half of the fingerprint of the request
   */
  public void recordCrash(
      Collection<PromptPart> parts, Incarnation upstream, long request, long nowNanos) {
    parts.forEach(part -> historyOf(part, nowNanos).addOwn(upstream, request, nowNanos));
  }

  /**
   * Records that an upstream has answered a request with these parts, which refutes all crashes so
   * far.
   *
   * @return the reports on the parts that were quarantined and are no longer
   */
  public List<PartReport> recordAnswer(Collection<PromptPart> parts, long nowNanos) {
    List<PartReport> released = new ArrayList<>();
    for (PromptPart part : parts) {
      PartHistory history = histories.get(part);
      if (history != null) {
        boolean wasQuarantined = history.isQuarantined();
        if (history.refute(nowNanos) && wasQuarantined) {
          released.add(history.toReport(nowNanos));
        }
      }
    }
    if (!released.isEmpty()) {
      // Ends the quarantine, and begins none: the answers under way are not known here.
      update(part -> true, nowNanos);
    }
    return released;
  }

  /**
   * Decides again which parts are quarantined.
   *
   * @param isBeingWritten true for a part of a request whose answer an upstream has been writing
   *     for some time
   * @return the groups of parts whose quarantine begins
   */
  public List<Set<PromptPart>> update(Predicate<PromptPart> isBeingWritten, long nowNanos) {
    if (histories.isEmpty()) {
      return List.of();
    }
    histories.values().removeIf(history -> isExpired(history, nowNanos));
    List<Set<PromptPart>> former = quarantined;
    quarantined = CrashExplanation.find(histories.values(), settleNanos, isBeingWritten, nowNanos);
    return quarantined.stream().filter(group -> !former.contains(group)).toList();
  }

  private static boolean isExpired(PartHistory history, long nowNanos) {
    long keepNanos = history.isQuarantined() ? KEEP_QUARANTINED_NANOS : KEEP_NANOS;
    return history.idleNanos(nowNanos) >= keepNanos;
  }

  /** Returns the quarantined parts because of which a request with these parts is refused. */
  public Optional<Set<PromptPart>> findQuarantined(Set<PromptPart> parts) {
    return quarantined.stream().filter(parts::containsAll).findFirst();
  }

  /** Returns true if no quarantined part is known, so that callers can skip reading the parts. */
  public boolean isNothingQuarantined() {
    return quarantined.isEmpty();
  }

  /**
   * Returns true if a request with these quarantined parts may be tried now, and begins the time
   * until the next trial.
   */
  public boolean takeTrial(Set<PromptPart> group, long nowNanos) {
    List<PartHistory> tried = new ArrayList<>();
    for (PromptPart part : group) {
      PartHistory history = histories.get(part);
      if (history == null || history.restedNanos(nowNanos) < TRIAL_NANOS) {
        return false;
      }
      tried.add(history);
    }
    tried.forEach(history -> history.recordTrial(nowNanos));
    return true;
  }

  /**
   * Merges the reports of another process.
   *
   * @return true if they hold anything new; {@link #update} then decides again
   */
  public boolean applyReports(Collection<PartReport> reports, long nowNanos) {
    boolean hasChanged = false;
    for (PartReport report : reports) {
      long idleNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, report.idleMs()));
      long keepNanos = report.isQuarantined() ? KEEP_QUARANTINED_NANOS : KEEP_NANOS;
      boolean isRefuted = report.crashes().stream().allMatch(PartCrash::isRefuted);
      boolean isNeedless = isRefuted && !histories.containsKey(report.part());
      if (idleNanos < keepNanos && !isNeedless) {
        hasChanged |= historyOf(report.part(), nowNanos).merge(report, nowNanos);
      }
    }
    return hasChanged;
  }

  private PartHistory historyOf(PromptPart part, long nowNanos) {
    PartHistory known = histories.get(part);
    if (known != null) {
      return known;
    }
    if (histories.size() >= MAX_PARTS) {
      removeLeast();
    }
    PartHistory created = new PartHistory(part, nowNanos);
    histories.put(part, created);
    return created;
  }

  /** Removes the history with the fewest crashes, the oldest of them, quarantined ones last. */
  private void removeLeast() {
    histories.values().stream()
        .min(
            Comparator.comparing(PartHistory::isQuarantined)
                .thenComparing(history -> history.isRefuted() ? 0 : history.size()))
        .map(PartHistory::part)
        .ifPresent(histories::remove);
  }

  /**
   * Returns the reports for the next heartbeat: the histories that changed within the last second,
   * and each second the quarantined parts, in rotation if there are many.
   */
  public List<PartReport> reports(long nowNanos) {
    if (histories.isEmpty()) {
      return List.of();
    }
    List<PartHistory> changed = new ArrayList<>();
    List<PartHistory> settled = new ArrayList<>();
    for (PartHistory history : histories.values()) {
      if (history.hasChangedWithin(ANNOUNCE_NANOS, nowNanos)) {
        changed.add(history);
      } else if (history.isQuarantined()) {
        settled.add(history);
      }
    }
    // Those with most crashes come first, since the number of reports is bounded.
    changed.sort((one, other) -> Integer.compare(other.size(), one.size()));
    List<PartReport> reports = new ArrayList<>();
    for (PartHistory history : changed.subList(0, Math.min(changed.size(), MAX_REPORTED))) {
      reports.add(history.toReport(nowNanos));
    }
    if (settled.isEmpty() || nowNanos - settledReportNanos < SETTLED_INTERVAL_NANOS) {
      return reports;
    }
    settledReportNanos = nowNanos;
    for (int i = 0; i < settled.size() && reports.size() < MAX_REPORTED; i++) {
      lastReportedIndex = (lastReportedIndex + 1) % settled.size();
      reports.add(settled.get(lastReportedIndex).toReport(nowNanos));
    }
    return reports;
  }

  /** Returns the report on a part, or empty if no crash under it is known. */
  public Optional<PartReport> report(PromptPart part, long nowNanos) {
    return Optional.ofNullable(histories.get(part)).map(history -> history.toReport(nowNanos));
  }

  /** Returns true if a crash under the part was recorded here, and not only reported by others. */
  public boolean isOwn(PromptPart part) {
    PartHistory history = histories.get(part);
    return history != null && history.isOwn();
  }

  /** Returns the number of quarantined parts. */
  public int quarantinedCount() {
    return quarantined.stream().mapToInt(Set::size).sum();
  }
}
