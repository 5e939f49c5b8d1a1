package org.shoreroad.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Decides which requests are sent to no upstream any more, since upstreams end under them.
 *
 * <p>The load that it answers: a request whose content crashes each upstream that begins to run it,
 * and whose caller returns to any process. Without it one such request ended 43 upstreams in a
 * minute, each with up to 32 requests of other callers.
 *
 * <p>Three upstreams that ended while they ran the request are the evidence. Two are not: requests
 * that were open at one crash are moved together, so that bystanders commonly meet a second crash,
 * and three are what the users allow. A whole answer refutes the crashes before it, which keeps a
 * request that many callers send alike, such as a lookup without a body, out of quarantine.
 *
 * <p>What one process knows, the others join from its reports. It reads no clock: times are passed
 * in, in nanoseconds of the steady clock. Used by one thread.
 *
 * @since 0.2
 */
public final class CrashQuarantine {
  /** Three crashes under a running request, or six under one that may only have waited. */
  static final int QUARANTINE_WEIGHT = 6;

  /**
   * A request of which nothing was seen for this long may run again: a new version of the upstreams
   * may bear it, and what is kept has to end. Minutes pass between the returns of patient callers.
   */
  static final long KEEP_NANOS = TimeUnit.MINUTES.toNanos(10);

  /**
   * How many requests are kept: 25 crashes within the time above, with 20 requests open at each.
   * One with three crashes takes 1.1 KB of heap, so 0.6 MB at most.
   */
  static final int MAX_REQUESTS = 512;

  /** Five heartbeats: a change is told so often, so that lost ones do not matter. */
  private static final long NEW_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Most requests in one heartbeat: 95 bytes each with three crashes, so 4.6 KB. */
  private static final int MAX_REPORTED = 48;

  private final Map<RequestFingerprint, CrashHistory> histories = new LinkedHashMap<>();

  /** The quarantined requests after this many are the next to be told. */
  private int toldCount;

  /** Returns true if no crash under any request is known, so that none need be identified. */
  public boolean isEmpty() {
    return histories.isEmpty();
  }

  /** Returns true if the request is to be sent to no upstream. */
  public boolean isQuarantined(RequestFingerprint request, long nowNanos) {
    CrashHistory history = histories.get(request);
    return history != null && isQuarantined(history, nowNanos);
  }

  private static boolean isQuarantined(CrashHistory history, long nowNanos) {
    return history.weight() >= QUARANTINE_WEIGHT && history.idleNanos(nowNanos) < KEEP_NANOS;
  }

  /**
   * Notes that a caller has sent the request; a quarantine lasts until it has not been sent for ten
   * minutes.
   *
   * @return true if the request is to be sent to no upstream
   */
  public boolean recordArrival(RequestFingerprint request, long nowNanos) {
    CrashHistory history = histories.get(request);
    if (history == null || !isQuarantined(history, nowNanos)) {
      return false;
    }
    history.seenAt(nowNanos);
    return true;
  }

  /**
   * Notes that an upstream ended under the request.
   *
   * @return true if the request is quarantined by this crash
   */
  public boolean recordCrash(RequestFingerprint request, Crash crash, long nowNanos) {
    CrashHistory history = historyOf(request, nowNanos, nowNanos);
    boolean wasQuarantined = isQuarantined(history, nowNanos);
    history.add(crash, nowNanos);
    history.seenAt(nowNanos);
    return !wasQuarantined && isQuarantined(history, nowNanos);
  }

  /** Notes that an upstream has answered the request in whole, so that it ended none of them. */
  public void recordAnswer(RequestFingerprint request, long nowNanos) {
    CrashHistory history = histories.get(request);
    if (history != null) {
      history.refute(nowNanos);
    }
  }

  /**
   * Joins the reports of another process.
   *
   * @return the requests that are quarantined by them
   */
  public Set<RequestFingerprint> applyReports(Collection<CrashReport> reports, long nowNanos) {
    Set<RequestFingerprint> quarantined = new HashSet<>();
    for (CrashReport report : reports) {
      long idleNanos = TimeUnit.MILLISECONDS.toNanos(Math.max(0, report.idleMs()));
      boolean isOver = idleNanos >= KEEP_NANOS;
      boolean isNeedless = report.isRefuted() && !histories.containsKey(report.fingerprint());
      if (!isOver && !isNeedless && applyReports(report, nowNanos - idleNanos, nowNanos)) {
        quarantined.add(report.fingerprint());
      }
    }
    return quarantined;
  }

  private boolean applyReports(CrashReport report, long seenNanos, long nowNanos) {
    CrashHistory history = historyOf(report.fingerprint(), seenNanos, nowNanos);
    boolean wasQuarantined = isQuarantined(history, nowNanos);
    history.join(report, nowNanos);
    history.seenAt(seenNanos);
    return !wasQuarantined && isQuarantined(history, nowNanos);
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

  /** Drops what is too old, and if that is nothing the oldest request without quarantine. */
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
   * Returns what to tell the other processes now: all that changed within the last second, and the
   * quarantined requests, in turn if they are many. So a process that starts has them with the
   * first heartbeats.
   */
  public List<CrashReport> reports(long nowNanos) {
    if (histories.isEmpty()) {
      return List.of();
    }
    removeExpired(nowNanos);
    List<CrashHistory> changed = new ArrayList<>();
    List<CrashHistory> settled = new ArrayList<>();
    for (CrashHistory history : histories.values()) {
      if (history.hasChangedWithin(NEW_NANOS, nowNanos)) {
        changed.add(history);
      } else if (isQuarantined(history, nowNanos)) {
        settled.add(history);
      }
    }
    // Those with the most crashes are told even if more requests were broken than can be told.
    changed.sort((one, other) -> Integer.compare(other.weight(), one.weight()));
    List<CrashReport> reports = new ArrayList<>();
    for (CrashHistory history : changed.subList(0, Math.min(changed.size(), MAX_REPORTED))) {
      reports.add(toReport(history, nowNanos));
    }
    for (int i = 0; i < settled.size() && reports.size() < MAX_REPORTED; i++) {
      toldCount = (toldCount + 1) % settled.size();
      reports.add(toReport(settled.get(toldCount), nowNanos));
    }
    return reports;
  }

  /** Returns what to tell of one request, or empty if no crash under it is known. */
  public Optional<CrashReport> report(RequestFingerprint request, long nowNanos) {
    return Optional.ofNullable(histories.get(request)).map(history -> toReport(history, nowNanos));
  }

  private static CrashReport toReport(CrashHistory history, long nowNanos) {
    return history.toReport(TimeUnit.NANOSECONDS.toMillis(history.idleNanos(nowNanos)));
  }

  /** Returns how many requests are quarantined. */
  public int quarantinedCount(long nowNanos) {
    int count = 0;
    for (CrashHistory history : histories.values()) {
      count += isQuarantined(history, nowNanos) ? 1 : 0;
    }
    return count;
  }
}
