package org.shoreroad.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.shoreroad.fleet.Incarnation;

/**
 * Crashes of upstreams while they had one request open.
 *
 * <p>Not thread-safe: confined to one thread.
 */
final class CrashHistory {
  /** Bound of the memory of one history; a quarantine needs six crashes at most. */
  private static final int MAX_CRASHES = 32;

  private final RequestFingerprint fingerprint;
  private final Map<Incarnation, Crash> crashes = new LinkedHashMap<>();
  private final Set<Incarnation> refuted = new HashSet<>();
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

  /** Adds a crash; each upstream counts once, however often the request was sent to it. */
  void add(Crash crash, long nowNanos) {
    Crash known = crashes.get(crash.upstream());
    boolean isKnown = known != null && (known.hadBegun() || !crash.hadBegun());
    if (!isKnown && (known != null || crashes.size() < MAX_CRASHES)) {
      crashes.put(crash.upstream(), crash);
      changedNanos = nowNanos;
    }
  }

  /** Marks all crashes so far as not caused by the request; returns true if one was not. */
  boolean refute(long nowNanos) {
    boolean hasChanged = refuted.addAll(crashes.keySet());
    changedNanos = hasChanged ? nowNanos : changedNanos;
    return hasChanged;
  }

  /** Merges a report of another process. */
  void merge(CrashReport report, long nowNanos) {
    report.crashes().forEach(crash -> add(crash, nowNanos));
    for (Incarnation upstream : report.refuted()) {
      if (crashes.containsKey(upstream) && refuted.add(upstream)) {
        changedNanos = nowNanos;
      }
    }
  }

  /** Records a time at which the request was seen; an earlier time than known has no effect. */
  void recordSeen(long nanos) {
    seenNanos = Math.max(seenNanos, nanos);
  }

  /** Returns the total weight of the crashes that aren't refuted; see {@link Crash#weight()}. */
  int weight() {
    int weight = 0;
    for (Crash crash : crashes.values()) {
      weight += refuted.contains(crash.upstream()) ? 0 : crash.weight();
    }
    return weight;
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
