package org.shoreroad.edge.replica;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.fleet.ObservedBox.Reach;

/**
 * Table of boxes with the results of their last report requests. Not thread-safe: used on the event
 * loop.
 *
 * @since 0.2
 */
final class ReachabilityTable {
  /** Consecutive unanswered requests after which a box is lost. */
  private static final int LOST_AFTER_FAILURES = 2;

  /** Time since an unanswered request after which a box is lost; one answer may be lost or late. */
  private static final long LOST_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

  private final Map<String, Entry> entries = new HashMap<>();

  void recordRequest(String id, long nowNanos) {
    Entry entry = entries.computeIfAbsent(id, key -> new Entry());
    entry.requestedNanos = nowNanos;
    entry.isAwaitingReport = true;
  }

  void recordReport(String id, long nowNanos) {
    Entry entry = entries.computeIfAbsent(id, key -> new Entry());
    entry.reportNanos = nowNanos;
    entry.isAwaitingReport = false;
    entry.failures = 0;
    entry.isGone = false;
  }

  /** Discards what unanswered requests have shown, since the path to the box was lost. */
  void recordUnknown(String id) {
    Entry entry = entries.get(id);
    if (entry != null) {
      entry.isAwaitingReport = false;
      entry.failures = 0;
    }
  }

  void recordFailure(String id, boolean isGone, boolean isRefusing, long nowNanos) {
    Entry entry = entries.computeIfAbsent(id, key -> new Entry());
    entry.isRefusing = isRefusing;
    entry.isAwaitingReport = false;
    entry.isGone |= isGone;
    if (entry.failures == 0) {
      entry.silentSinceNanos = nowNanos;
    }
    entry.failures++;
    entry.lastFailureNanos = nowNanos;
  }

  /**
   * Returns whether a box can be reached.
   *
   * @param isSuspect true if its replica makes no progress, so that one unanswered request is
   *     enough
   */
  Reach reach(String id, boolean isSuspect, long nowNanos) {
    Entry entry = entries.get(id);
    if (entry == null) {
      return Reach.LIKELY;
    }
    if (entry.isGone) {
      return Reach.GONE;
    }
    boolean isSilent =
        entry.failures >= (isSuspect ? 1 : LOST_AFTER_FAILURES)
            || (entry.failures > 0 && nowNanos - entry.silentSinceNanos > LOST_AFTER_NANOS);
    return isSilent ? Reach.LOST : Reach.LIKELY;
  }

  /** Disregards the reports of a box that are requested before the time, for confirmation. */
  void confirmFrom(String id, long fromNanos) {
    entries.computeIfAbsent(id, key -> new Entry()).confirmFromNanos = fromNanos;
  }

  /**
   * Returns true if the box answered a request that was sent within the time, and not before {@link
   * #confirmFrom}.
   */
  boolean hasReport(String id, long withinNanos, long nowNanos) {
    Entry entry = entries.get(id);
    return entry != null
        && nowNanos - entry.reportNanos < withinNanos
        && entry.reportNanos >= entry.confirmFromNanos;
  }

  /** Returns true if the box left no request unanswered within the time. */
  boolean isSteady(String id, long withinNanos, long nowNanos) {
    Entry entry = entries.get(id);
    return entry == null || nowNanos - entry.lastFailureNanos > withinNanos;
  }

  /** Returns the time since the first of the unanswered requests in a row, or 0. */
  long silentNanos(String id, long nowNanos) {
    Entry entry = entries.get(id);
    return entry == null || entry.failures == 0 ? 0 : nowNanos - entry.silentSinceNanos;
  }

  /** Returns true if the interval since the last request is over and no answer is awaited. */
  boolean isDue(String id, long intervalNanos, long nowNanos) {
    Entry entry = entries.get(id);
    return entry == null
        || (!entry.isAwaitingReport && nowNanos - entry.requestedNanos >= intervalNanos);
  }

  /** Returns true if the box's address refused the last connection. */
  boolean isRefusing(String id) {
    Entry entry = entries.get(id);
    return entry != null && entry.failures > 0 && entry.isRefusing;
  }

  /** Returns true if the last request was not answered. */
  boolean isSilent(String id) {
    Entry entry = entries.get(id);
    return entry != null && entry.failures > 0;
  }

  void forget(String id) {
    entries.remove(id);
  }

  void retain(Set<String> ids) {
    entries.keySet().retainAll(ids);
  }

  private static final class Entry {
    private long requestedNanos = Long.MIN_VALUE / 2;
    private long reportNanos = Long.MIN_VALUE / 2;
    private long confirmFromNanos = Long.MIN_VALUE / 2;
    private long silentSinceNanos;
    private long lastFailureNanos = Long.MIN_VALUE / 2;
    private int failures;
    private boolean isAwaitingReport;
    private boolean isGone;
    private boolean isRefusing;
  }
}
