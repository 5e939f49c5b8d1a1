package org.shoreroad.quarantine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import org.shoreroad.fleet.Incarnation;

/** The crashes under one request. Used by one thread. */
final class CrashHistory {
  /** Bounds the memory of one history; a quarantine begins at six crashes at the most. */
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

  /** Adds a crash; one upstream counts once, however many returns of the request it ran. */
  void add(Crash crash, long nowNanos) {
    Crash known = crashes.get(crash.upstream());
    boolean isKnown = known != null && (known.hadBegun() || !crash.hadBegun());
    if (!isKnown && (known != null || crashes.size() < MAX_CRASHES)) {
      crashes.put(crash.upstream(), crash);
      changedNanos = nowNanos;
    }
  }

  /** Takes all crashes so far off the request. */
  void refute(long nowNanos) {
    if (refuted.addAll(crashes.keySet())) {
      changedNanos = nowNanos;
    }
  }

  /** Joins what another process knows. */
  void join(CrashReport report, long nowNanos) {
    report.crashes().forEach(crash -> add(crash, nowNanos));
    for (Incarnation upstream : report.refuted()) {
      if (crashes.containsKey(upstream) && refuted.add(upstream)) {
        changedNanos = nowNanos;
      }
    }
  }

  /** Notes that the request was seen at a time; an earlier one than known changes nothing. */
  void seenAt(long nanos) {
    seenNanos = Math.max(seenNanos, nanos);
  }

  /** Returns how much the crashes tell against the request; see {@link Crash#weight()}. */
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
