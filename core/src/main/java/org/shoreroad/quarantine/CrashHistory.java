package org.shoreroad.quarantine;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shoreroad.fleet.Incarnation;

/**
 * Crashes of upstreams while they had one request open.
 *
 * <p>Not thread-safe: confined to one thread.
 */
final class CrashHistory {
  /** Bound of the memory of one history; a quarantine needs three crashes. */
  private static final int MAX_CRASHES = 32;

  private final RequestFingerprint fingerprint;
  private final Map<Incarnation, Crash> crashes = new LinkedHashMap<>();
  private final Map<Incarnation, Long> addedNanos = new HashMap<>();
  private final Set<Incarnation> refuted = new HashSet<>();
  private boolean isOwn;
  private boolean isQuarantined;
  private long changedNanos;
  private long seenNanos;

  CrashHistory(RequestFingerprint fingerprint, long seenNanos) {
    this.fingerprint = fingerprint;
    this.changedNanos = seenNanos;
    this.seenNanos = seenNanos;
  }

  RequestFingerprint fingerprint() {
    return fingerprint;
  }

  /** Adds a crash that this process has seen. */
  void addOwn(Crash crash, long nowNanos) {
    isOwn = true;
    add(crash, nowNanos);
  }

  /** Returns true if this process has seen one of the crashes. */
  boolean isOwn() {
    return isOwn;
  }

  /**
   * Adds a crash; each upstream counts once, however often the request was sent to it.
   *
   * @return true if it is new
   */
  boolean add(Crash crash, long nowNanos) {
    Crash known = crashes.get(crash.upstream());
    boolean isKnown = known != null && (known.hadJustBegun() || !crash.hadJustBegun());
    if (isKnown || (known == null && crashes.size() >= MAX_CRASHES)) {
      return false;
    }
    crashes.put(crash.upstream(), crash);
    addedNanos.putIfAbsent(crash.upstream(), nowNanos);
    changedNanos = nowNanos;
    return true;
  }

  /** Marks all crashes so far as not caused by the request; returns true if one was not. */
  boolean refute(long nowNanos) {
    boolean hasChanged = refuted.addAll(crashes.keySet());
    changedNanos = hasChanged ? nowNanos : changedNanos;
    return hasChanged;
  }

  /** Merges a report of another process; returns true if it holds anything new. */
  boolean merge(CrashReport report, long nowNanos) {
    boolean hasChanged = false;
    for (Crash crash : report.crashes()) {
      hasChanged |= add(crash, nowNanos);
    }
    for (Incarnation upstream : report.refuted()) {
      hasChanged |= crashes.containsKey(upstream) && refuted.add(upstream);
    }
    changedNanos = hasChanged ? nowNanos : changedNanos;
    return hasChanged;
  }

  /** Records a time at which the request was seen; an earlier time than known has no effect. */
  void recordSeen(long nanos) {
    seenNanos = Math.max(seenNanos, nanos);
  }

  /** Returns the crashes that aren't refuted. */
  List<Crash> crashes() {
    return crashes.values().stream().filter(crash -> !refuted.contains(crash.upstream())).toList();
  }

  /** Returns the number of crashes that aren't refuted. */
  int size() {
    return crashes.size() - refuted.size();
  }

  /** Returns the number of crashes, not refuted, of upstreams that had just begun to answer. */
  int justBegunCount() {
    return (int) crashes().stream().filter(Crash::hadJustBegun).count();
  }

  /** Returns the time since this process learned of the crash. */
  long ageNanos(Crash crash, long nowNanos) {
    return nowNanos - addedNanos.get(crash.upstream());
  }

  boolean isQuarantined() {
    return isQuarantined;
  }

  void setQuarantined(boolean newQuarantined) {
    isQuarantined = newQuarantined;
  }

  boolean hasChangedWithin(long nanos, long nowNanos) {
    return nowNanos - changedNanos < nanos;
  }

  long idleNanos(long nowNanos) {
    return nowNanos - seenNanos;
  }

  CrashReport toReport(long idleMs) {
    return new CrashReport(fingerprint, new ArrayList<>(crashes.values()), refuted, idleMs);
  }
}
