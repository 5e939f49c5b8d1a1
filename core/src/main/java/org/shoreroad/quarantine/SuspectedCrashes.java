package org.shoreroad.quarantine;

import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.fleet.Incarnation;

/**
 * Requests that may have crashed their upstreams, until it is known which upstreams have ended.
 *
 * <p>The failure of a call does not show whether the upstream has ended: sound upstreams lose
 * connections, and those that crash may first send bytes that form no answer, or nothing. So each
 * request that left an upstream without a proper answer is kept here until the upstream proves to
 * have ended, which makes it a {@link Crash}, or until it is too old.
 *
 * <p>Times are passed in, in nanoseconds of the monotonic clock. Not thread-safe: confined to one
 * thread.
 *
 * @since 0.2
 */
public final class SuspectedCrashes {
  /** Time for which the end of an upstream is remembered, for requests that fail after it. */
  private static final long KEEP_ENDED_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Interval at which old suspicions are removed. */
  private static final long EXPIRY_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Maximum number of suspicions; 0.3 KB each. */
  static final int MAX_SUSPICIONS = 1_024;

  private final Map<Incarnation, Map<RequestFingerprint, Entry>> entries = new LinkedHashMap<>();
  private final Map<Incarnation, Long> endedNanos = new LinkedHashMap<>();
  private long expiredNanos = Long.MIN_VALUE / 2;
  private int size;

  private record Entry(CrashSuspicion suspicion, long nanos, boolean isUndecided) {
    boolean isExpired(long nowNanos) {
      return nowNanos - nanos >= suspicion.kind().maxDelayNanos();
    }

    Entry withDecision() {
      return new Entry(suspicion, nanos, false);
    }
  }

  /**
   * Adds a request that has left its upstream.
   *
   * @return true if the upstream is known to have ended, so that the request has crashed it
   */
  public boolean add(CrashSuspicion suspicion, long nowNanos) {
    if (nowNanos - expiredNanos >= EXPIRY_INTERVAL_NANOS) {
      removeExpired(nowNanos);
    }
    Incarnation upstream = suspicion.crash().upstream();
    if (endedNanos.containsKey(upstream)) {
      return !suspicion.kind().isAnswered();
    }
    if (size >= MAX_SUSPICIONS) {
      removeOldest();
    }
    boolean isUndecided = suspicion.kind() == CrashSuspicion.Kind.BROKEN_OFF;
    Map<RequestFingerprint, Entry> ofUpstream =
        entries.computeIfAbsent(upstream, added -> new LinkedHashMap<>());
    Entry added = new Entry(suspicion, nowNanos, isUndecided);
    size += ofUpstream.put(suspicion.request(), added) == null ? 1 : 0;
    return false;
  }

  /** Records that an upstream has ended; returns the requests that it had, which are removed. */
  public List<CrashSuspicion> takeEnded(Incarnation upstream, long nowNanos) {
    removeExpired(nowNanos);
    endedNanos.put(upstream, nowNanos);
    Map<RequestFingerprint, Entry> ofUpstream = entries.remove(upstream);
    if (ofUpstream == null) {
      return List.of();
    }
    size -= ofUpstream.size();
    return ofUpstream.values().stream().map(Entry::suspicion).toList();
  }

  /**
   * Records that an upstream was running at this time. The requests that left it before are kept,
   * since it may still end, but are no reason to hold others back.
   *
   * @return the number of requests that are decided by this
   */
  public int dismiss(Incarnation upstream, long runningNanos) {
    int dismissed = 0;
    for (Map.Entry<RequestFingerprint, Entry> entry :
        entries.getOrDefault(upstream, Map.of()).entrySet()) {
      if (entry.getValue().isUndecided() && runningNanos - entry.getValue().nanos() > 0) {
        entry.setValue(entry.getValue().withDecision());
        dismissed++;
      }
    }
    return dismissed;
  }

  /** Removes the requests of an upstream whose end was planned. */
  public void forget(Incarnation upstream) {
    Map<RequestFingerprint, Entry> ofUpstream = entries.remove(upstream);
    size -= ofUpstream == null ? 0 : ofUpstream.size();
  }

  /** Returns true if a request has left the upstream without a proper answer. */
  public boolean isSuspected(Incarnation upstream) {
    return entries.containsKey(upstream);
  }

  /** Returns true if it is not known yet whether the upstream runs. */
  public boolean isUndecided(Incarnation upstream) {
    return entries.getOrDefault(upstream, Map.of()).values().stream().anyMatch(Entry::isUndecided);
  }

  /** Returns true if there are no suspicions, so that callers can skip the fingerprints. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /**
   * Returns the upstreams that the request left a short time ago and that may have ended.
   *
   * @param maxAgeNanos the time for which a suspicion counts, in nanoseconds
   */
  public Set<Incarnation> undecided(RequestFingerprint request, long maxAgeNanos, long nowNanos) {
    Set<Incarnation> undecided = new HashSet<>();
    entries.forEach(
        (upstream, ofUpstream) -> {
          Entry entry = ofUpstream.get(request);
          if (entry != null && entry.isUndecided() && nowNanos - entry.nanos() < maxAgeNanos) {
            undecided.add(upstream);
          }
        });
    return undecided;
  }

  /** Removes the suspicions that are too old. */
  void removeExpired(long nowNanos) {
    expiredNanos = nowNanos;
    endedNanos.values().removeIf(nanos -> nowNanos - nanos >= KEEP_ENDED_NANOS);
    Iterator<Map.Entry<Incarnation, Map<RequestFingerprint, Entry>>> all =
        entries.entrySet().iterator();
    while (all.hasNext()) {
      Map.Entry<Incarnation, Map<RequestFingerprint, Entry>> ofUpstream = all.next();
      int before = ofUpstream.getValue().size();
      ofUpstream.getValue().values().removeIf(entry -> entry.isExpired(nowNanos));
      size -= before - ofUpstream.getValue().size();
      if (ofUpstream.getValue().isEmpty()) {
        all.remove();
      }
    }
  }

  /** Removes the oldest suspicion of the upstream that has been suspected for longest. */
  private void removeOldest() {
    Iterator<Map<RequestFingerprint, Entry>> upstreams = entries.values().iterator();
    Map<RequestFingerprint, Entry> first = upstreams.next();
    Iterator<Entry> oldestFirst = first.values().iterator();
    oldestFirst.next();
    oldestFirst.remove();
    size--;
    if (first.isEmpty()) {
      upstreams.remove();
    }
  }
}
