package org.shoreroad.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.fleet.Incarnation;

/**
 * Quarantine of requests that crash upstreams: decides which requests are no longer sent to any.
 *
 * <p>The content of a request may crash every upstream that begins to run it, while its caller
 * retries it at any process. Each crash also breaks off up to 32 requests of other callers.
 *
 * <p>A request is quarantined after three crashes, the number that the requirements allow. Two are
 * not enough evidence: requests that were open at one crash are moved together, so that harmless
 * ones commonly see a second crash. A successful answer refutes the crashes before it. This keeps
 * identical requests of many callers, such as a lookup without a body, out of quarantine.
 *
 * <p>A request that an upstream had not just begun to answer may have waited behind the one that
 * crashed it. Its crash is explained, and does not count, if a quarantined request had just begun
 * there. If such crashes are among the three, all three count only after the time in which the
 * other processes report theirs.
 *
 * <p>Processes exchange reports of the crashes and merge them. This class reads no clock: times are
 * passed in, in nanoseconds of the monotonic clock. Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class CrashQuarantine {
  /** Crashes that are needed. */
  static final int QUARANTINE_CRASHES = 3;

  /** Time in which other processes report what their requests did at a crashed upstream. */
  public static final int SETTLE_MS = 250;

  private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(SETTLE_MS);

  /**
   * Time without a crash or arrival after which a request may run again, and its history is
   * removed: a new version of the upstreams may handle it, and memory is bounded. Callers may wait
   * minutes between retries.
   */
  static final long KEEP_NANOS = TimeUnit.MINUTES.toNanos(10);

  /**
   * Maximum number of histories: 25 crashes within {@link #KEEP_NANOS}, with 20 open requests each.
   * A history of three crashes takes 1.1 KB of heap, 0.6 MB in all.
   */
  static final int MAX_REQUESTS = 512;

  /** Time for which a change is reported: five heartbeats, so that a lost one does no harm. */
  private static final long ANNOUNCE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Maximum number of requests in one heartbeat: 95 bytes each with three crashes, 4.6 KB. */
  private static final int MAX_REPORTED = 48;

  /**
   * Interval at which crashes of requests that are not quarantined are reported again, for
   * processes that were cut off, suspended or not started when they were announced.
   */
  private static final long REPEAT_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Maximum number of such requests in one heartbeat. */
  private static final int MAX_REPEATED = 8;

  private final Map<RequestFingerprint, CrashHistory> histories = new LinkedHashMap<>();

  /** Index of the quarantined request that was reported last. */
  private int lastReportedIndex;

  private int lastRepeatedIndex;
  private long repeatedNanos = Long.MIN_VALUE / 2;

  /** Returns true if no crash is known, so that callers can skip the fingerprints. */
  public boolean isEmpty() {
    return histories.isEmpty();
  }

  /** Returns true if the request must not be sent to any upstream. */
  public boolean isQuarantined(RequestFingerprint request, long nowNanos) {
    CrashHistory history = histories.get(request);
    return history != null && isQuarantined(history, nowNanos);
  }

  private static boolean isQuarantined(CrashHistory history, long nowNanos) {
    return history.isQuarantined() && history.idleNanos(nowNanos) < KEEP_NANOS;
  }

  /**
   * Returns true if the request may have to be quarantined once more is known: crashes that are not
   * settled, or upstreams that may have ended, would complete the number that is needed.
   *
   * @param suspected the upstreams that may have crashed under the request, not null
   */
  public boolean isUndecided(
      RequestFingerprint request, Set<Incarnation> suspected, long nowNanos) {
    CrashHistory history = histories.get(request);
    if (history == null || history.idleNanos(nowNanos) >= KEEP_NANOS) {
      return suspected.size() >= QUARANTINE_CRASHES;
    }
    Set<Incarnation> crashed = new HashSet<>(suspected);
    boolean isSettling = !suspected.isEmpty();
    for (Crash crash : history.crashes()) {
      crashed.add(crash.upstream());
      isSettling |= !isSettled(history, crash, nowNanos);
    }
    return isSettling && !history.isQuarantined() && crashed.size() >= QUARANTINE_CRASHES;
  }

  /**
   * Decides again which requests are quarantined; to be called once crashes have settled.
   *
   * @return the requests whose quarantine begins
   */
  public Set<RequestFingerprint> update(long nowNanos) {
    List<CrashHistory> candidates = new ArrayList<>();
    for (CrashHistory history : histories.values()) {
      if (history.size() >= QUARANTINE_CRASHES) {
        candidates.add(history);
      } else {
        history.setQuarantined(false);
      }
    }
    // Those with the best evidence come first, since they explain crashes of the others.
    candidates.sort(Comparator.comparingInt(CrashHistory::justBegunCount).reversed());
    Set<Incarnation> explained = new HashSet<>();
    Set<RequestFingerprint> begun = new HashSet<>();
    for (CrashHistory history : candidates) {
      boolean wasQuarantined = isQuarantined(history, nowNanos);
      history.setQuarantined(countedCrashes(history, explained, nowNanos) >= QUARANTINE_CRASHES);
      if (isQuarantined(history, nowNanos)) {
        history.crashes().stream()
            .filter(Crash::hadJustBegun)
            .forEach(crash -> explained.add(crash.upstream()));
        if (!wasQuarantined) {
          begun.add(history.fingerprint());
        }
      }
    }
    return begun;
  }

  private static int countedCrashes(
      CrashHistory history, Set<Incarnation> explained, long nowNanos) {
    int count = 0;
    for (Crash crash : history.crashes()) {
      boolean isBlamed = crash.hadJustBegun() || !explained.contains(crash.upstream());
      count += isBlamed && isSettled(history, crash, nowNanos) ? 1 : 0;
    }
    return count;
  }

  /** Returns true if the crash counts now: three of upstreams that had just begun do at once. */
  private static boolean isSettled(CrashHistory history, Crash crash, long nowNanos) {
    return history.isQuarantined()
        || history.justBegunCount() >= QUARANTINE_CRASHES
        || history.ageNanos(crash, nowNanos) >= SETTLE_NANOS;
  }

  /**
   * Records that a caller sent the request. A quarantine lasts until the request hasn't been sent
   * for ten minutes.
   *
   * @return true if the request must not be sent to any upstream
   */
  public boolean recordArrival(RequestFingerprint request, long nowNanos) {
    CrashHistory history = histories.get(request);
    if (history == null || !isQuarantined(history, nowNanos)) {
      return false;
    }
    history.recordSeen(nowNanos);
    return true;
  }

  /**
   * Records that an upstream crashed while the request was open on it.
   *
   * @return the requests whose quarantine begins by this crash
   */
  public Set<RequestFingerprint> recordCrash(
      RequestFingerprint request, Crash crash, long nowNanos) {
    CrashHistory history = historyOf(request, nowNanos, nowNanos);
    history.addOwn(crash, nowNanos);
    history.recordSeen(nowNanos);
    return update(nowNanos);
  }

  /** Returns true if a crash under the request was recorded here, and not only reported. */
  public boolean isOwn(RequestFingerprint request) {
    CrashHistory history = histories.get(request);
    return history != null && history.isOwn();
  }

  /**
   * Records a successful answer to the request, which refutes all crashes so far.
   *
   * @return true if a crash was not refuted before
   */
  public boolean recordAnswer(RequestFingerprint request, long nowNanos) {
    CrashHistory history = histories.get(request);
    if (history == null || !history.refute(nowNanos)) {
      return false;
    }
    history.setQuarantined(false);
    return true;
  }

  /**
   * Merges the reports of another process.
   *
   * @return the requests whose quarantine begins by these reports
   */
  public Set<RequestFingerprint> applyReports(Collection<CrashReport> reports, long nowNanos) {
    boolean hasChanged = false;
    for (CrashReport report : reports) {
      long idleNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, report.idleMs()));
      boolean isOver = idleNanos >= KEEP_NANOS;
      boolean isNeedless = report.isRefuted() && !histories.containsKey(report.fingerprint());
      if (!isOver && !isNeedless) {
        CrashHistory history = historyOf(report.fingerprint(), nowNanos - idleNanos, nowNanos);
        hasChanged |= history.merge(report, nowNanos);
        history.recordSeen(nowNanos - idleNanos);
      }
    }
    return hasChanged ? update(nowNanos) : Set.of();
  }

  private CrashHistory historyOf(RequestFingerprint request, long seenNanos, long nowNanos) {
    CrashHistory known = histories.get(request);
    if (known != null && known.idleNanos(nowNanos) < KEEP_NANOS) {
      return known;
    }
    histories.remove(request);
    if (histories.size() >= MAX_REQUESTS) {
      makeRoom(nowNanos);
    }
    CrashHistory created = new CrashHistory(request, seenNanos);
    histories.put(request, created);
    return created;
  }

  /** Removes expired histories, else the oldest without quarantine, else the oldest of all. */
  private void makeRoom(long nowNanos) {
    removeExpired(nowNanos);
    Iterator<CrashHistory> oldestFirst = histories.values().iterator();
    while (histories.size() >= MAX_REQUESTS && oldestFirst.hasNext()) {
      if (!isQuarantined(oldestFirst.next(), nowNanos)) {
        oldestFirst.remove();
      }
    }
    if (histories.size() >= MAX_REQUESTS) {
      histories.remove(histories.keySet().iterator().next());
    }
  }

  private void removeExpired(long nowNanos) {
    histories.values().removeIf(history -> history.idleNanos(nowNanos) >= KEEP_NANOS);
  }

  /**
   * Returns the reports for the next heartbeat: the histories that changed within the last second,
   * and the quarantined requests, in rotation if there are many. A process that starts thereby
   * receives all quarantined requests within its first heartbeats. A few of the other histories are
   * added each second, so that processes which missed a change have the same evidence later.
   */
  public List<CrashReport> reports(long nowNanos) {
    if (histories.isEmpty()) {
      return List.of();
    }
    removeExpired(nowNanos);
    List<CrashHistory> changed = new ArrayList<>();
    List<CrashHistory> settled = new ArrayList<>();
    List<CrashHistory> others = new ArrayList<>();
    for (CrashHistory history : histories.values()) {
      if (history.hasChangedWithin(ANNOUNCE_NANOS, nowNanos)) {
        changed.add(history);
      } else if (isQuarantined(history, nowNanos)) {
        settled.add(history);
      } else if (history.size() > 0) {
        others.add(history);
      }
    }
    // Those with the most crashes come first, since the number of reports is bounded.
    changed.sort(Comparator.comparingInt(CrashHistory::size).reversed());
    List<CrashReport> reports = new ArrayList<>();
    for (CrashHistory history : changed.subList(0, Math.min(changed.size(), MAX_REPORTED))) {
      reports.add(toReport(history, nowNanos));
    }
    for (int i = 0; i < settled.size() && reports.size() < MAX_REPORTED; i++) {
      lastReportedIndex = (lastReportedIndex + 1) % settled.size();
      reports.add(toReport(settled.get(lastReportedIndex), nowNanos));
    }
    if (nowNanos - repeatedNanos >= REPEAT_INTERVAL_NANOS && reports.size() < MAX_REPORTED) {
      repeatedNanos = nowNanos;
      repeat(others, reports, nowNanos);
    }
    return reports;
  }

  private void repeat(List<CrashHistory> others, List<CrashReport> reports, long nowNanos) {
    int count = Math.min(others.size(), Math.min(MAX_REPEATED, MAX_REPORTED - reports.size()));
    for (int i = 0; i < count; i++) {
      lastRepeatedIndex = (lastRepeatedIndex + 1) % others.size();
      reports.add(toReport(others.get(lastRepeatedIndex), nowNanos));
    }
  }

  /** Returns the report of one request, or empty if no crash is known for it. */
  public Optional<CrashReport> report(RequestFingerprint request, long nowNanos) {
    return Optional.ofNullable(histories.get(request)).map(history -> toReport(history, nowNanos));
  }

  private static CrashReport toReport(CrashHistory history, long nowNanos) {
    return history.toReport(TimeUnit.NANOSECONDS.toMillis(history.idleNanos(nowNanos)));
  }

  /** Returns the number of quarantined requests. */
  public int quarantinedCount(long nowNanos) {
    int count = 0;
    for (CrashHistory history : histories.values()) {
      count += isQuarantined(history, nowNanos) ? 1 : 0;
    }
    return count;
  }
}
