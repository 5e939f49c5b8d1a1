package org.shoreroad.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.shoreroad.fleet.Incarnation;

/**
 * Crashes of upstreams under one prompt part.
 *
 * <p>Not thread-safe: confined to one thread.
 */
final class PartHistory {
  /** Bound of the memory of one history; a quarantine needs a few crashes. */
  private static final int MAX_CRASHES = 16;

  /** Maximum number of crashes under one request that count; its content may be the cause. */
  private static final int MAX_CRASHES_PER_REQUEST = 2;

  /** Time that separates two crashes with a common cause, such as the loss of a rack's power. */
  private static final long SEPARATE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** Crashes, each within the gap of the one before, that are taken for a loss of many at once. */
  private static final int MASS_CRASHES = 4;

  private static final long MASS_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final PromptPart part;
  private final Map<Incarnation, Entry> crashes = new LinkedHashMap<>();
  private boolean isMarked;
  private boolean isOwn;
  private long lastCrashNanos;
  private long changedNanos;
  private long triedNanos;

  private static final class Entry {
    private long request;
    private long nanos;
    private boolean isRefuted;

    private Entry(long request, long nanos, boolean isRefuted) {
      this.request = request;
      this.nanos = nanos;
      this.isRefuted = isRefuted;
    }
  }

  PartHistory(PromptPart part, long nowNanos) {
    this.part = part;
    this.changedNanos = nowNanos;
    this.lastCrashNanos = nowNanos - TimeUnit.DAYS.toNanos(1);
    this.triedNanos = lastCrashNanos;
  }

  PromptPart part() {
    return part;
  }

  /** Adds a crash that this process has seen. */
  void addOwn(Incarnation upstream, long request, long nowNanos) {
    isOwn = true;
    add(upstream, request, nowNanos, false, nowNanos);
  }

  /** Returns true if this process has seen one of the crashes. */
  boolean isOwn() {
    return isOwn;
  }

  private boolean add(
      Incarnation upstream, long request, long crashNanos, boolean isRefuted, long nowNanos) {
    if (crashNanos - lastCrashNanos > 0) {
      lastCrashNanos = crashNanos;
    }
    Entry known = crashes.get(upstream);
    if (known == null && crashes.size() >= MAX_CRASHES && (isRefuted || !removeRefuted())) {
      return false;
    }
    boolean hasChanged =
        known == null || request < known.request || (isRefuted && !known.isRefuted);
    if (known == null) {
      crashes.put(upstream, new Entry(request, crashNanos, isRefuted));
    } else {
      known.request = Math.min(known.request, request);
      known.nanos = crashNanos - known.nanos < 0 ? crashNanos : known.nanos;
      known.isRefuted |= isRefuted;
    }
    changedNanos = hasChanged ? nowNanos : changedNanos;
    return hasChanged;
  }

  /** Removes the oldest refuted crash; returns false if there is none. */
  private boolean removeRefuted() {
    Iterator<Entry> oldestFirst = crashes.values().iterator();
    while (oldestFirst.hasNext()) {
      if (oldestFirst.next().isRefuted) {
        oldestFirst.remove();
        return true;
      }
    }
    return false;
  }

  /** Merges a report of another process; returns true if it holds anything new. */
  boolean merge(PartReport report, long nowNanos) {
    boolean hasChanged = false;
    for (PartCrash crash : report.crashes()) {
      long crashNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, crash.ageMs()));
      hasChanged |= add(crash.upstream(), crash.request(), crashNanos, crash.isRefuted(), nowNanos);
    }
    isMarked &= !isRefuted();
    // A report from before the crashes were refuted has no effect on later ones.
    if (report.isQuarantined() && !isMarked && isSufficient()) {
      mark(nowNanos);
      hasChanged = true;
    }
    return hasChanged;
  }

  /** Marks the part as quarantined. */
  void mark(long nowNanos) {
    isMarked = true;
    changedNanos = nowNanos;
  }

  /** Marks all crashes so far as not caused by the part; returns true if one was not. */
  boolean refute(long nowNanos) {
    boolean hasChanged = isMarked;
    for (Entry entry : crashes.values()) {
      hasChanged |= !entry.isRefuted;
      entry.isRefuted = true;
    }
    isMarked = false;
    changedNanos = hasChanged ? nowNanos : changedNanos;
    return hasChanged;
  }

  boolean isQuarantined() {
    return isMarked && isSufficient();
  }

  private boolean isSufficient() {
    return weightOf(crashes.keySet()) >= PartQuarantine.QUARANTINE_CRASHES;
  }

  boolean isRefuted() {
    return crashes.values().stream().allMatch(entry -> entry.isRefuted);
  }

  /** Returns the upstreams whose crash is not refuted and happened at least this long ago. */
  Set<Incarnation> settledCrashes(long settleNanos, long nowNanos) {
    Map<Incarnation, Entry> settled = new LinkedHashMap<>(crashes);
    settled.values().removeIf(entry -> entry.isRefuted || nowNanos - entry.nanos < settleNanos);
    return settled.keySet();
  }

  /** Returns how many of these crashes count, with a bound for those under one request. */
  int weightOf(Set<Incarnation> upstreams) {
    Map<Long, Integer> byRequest = new HashMap<>();
    for (Incarnation upstream : upstreams) {
      Entry entry = crashes.get(upstream);
      if (entry != null && !entry.isRefuted) {
        byRequest.merge(entry.request, 1, Integer::sum);
      }
    }
    int weight = 0;
    for (int count : byRequest.values()) {
      weight += Math.min(MAX_CRASHES_PER_REQUEST, count);
    }
    return weight;
  }

  /** Returns the number of these crashes that can't have one common cause. */
  int countSeparate(Set<Incarnation> upstreams) {
    TreeSet<Long> ages = new TreeSet<>();
    for (Incarnation upstream : upstreams) {
      ages.add(lastCrashNanos - crashes.get(upstream).nanos);
    }
    int count = 0;
    long nextNanos = 0;
    for (long ageNanos : ages) {
      if (count == 0 || ageNanos >= nextNanos) {
        count++;
        nextNanos = ageNanos + SEPARATE_NANOS;
      }
    }
    return count;
  }

  /**
   * Returns the number of these crashes, of which many at the same time count as one: they have a
   * common cause, such as the loss of a rack's power, and tell little about the part.
   */
  int countApart(Set<Incarnation> upstreams) {
    List<Long> times = new ArrayList<>();
    for (Incarnation upstream : upstreams) {
      times.add(crashes.get(upstream).nanos);
    }
    Collections.sort(times);
    int count = 0;
    int from = 0;
    for (int to = 1; to <= times.size(); to++) {
      if (to == times.size() || times.get(to) - times.get(to - 1) > MASS_GAP_NANOS) {
        count += to - from >= MASS_CRASHES ? 1 : to - from;
        from = to;
      }
    }
    return count;
  }

  /** Records that one request with the part is sent although it is quarantined. */
  void recordTrial(long nowNanos) {
    triedNanos = nowNanos;
  }

  /** Returns the time since the last crash, or since the last trial of this process. */
  long restedNanos(long nowNanos) {
    return Math.min(nowNanos - lastCrashNanos, nowNanos - triedNanos);
  }

  long idleNanos(long nowNanos) {
    return nowNanos - lastCrashNanos;
  }

  boolean hasChangedWithin(long nanos, long nowNanos) {
    return nowNanos - changedNanos < nanos;
  }

  int size() {
    return crashes.size();
  }

  PartReport toReport(long nowNanos) {
    List<PartCrash> reported = new ArrayList<>();
    crashes.forEach(
        (upstream, entry) ->
            reported.add(
                new PartCrash(
                    upstream,
                    entry.request,
                    TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.nanos),
                    entry.isRefuted)));
    return new PartReport(
        part, reported, isQuarantined(), TimeUnit.NANOSECONDS.toMillis(idleNanos(nowNanos)));
  }
}
