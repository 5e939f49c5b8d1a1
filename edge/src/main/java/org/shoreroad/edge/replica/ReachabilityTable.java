package org.shoreroad.edge.replica;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.fleet.ObservedBox.Reach;

/**
 * Table of the boxes that answered when they were last asked. Used on the event loop.
 *
 * @since 0.2
 */
final class ReachabilityTable {
  /** Silent answers in a row after which a box counts as lost. */
  private static final int SILENCES = 2;

  /** How long a box must be silent in any case: one answer may be lost or late. */
  private static final long LEAST_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(350);

  private final Map<String, Entry> entries = new HashMap<>();

  void recordAsked(String id, long nowNanos) {
    Entry entry = entries.computeIfAbsent(id, key -> new Entry());
    entry.askedNanos = nowNanos;
    entry.isAsking = true;
  }

  void recordReport(String id, long nowNanos) {
    Entry entry = entries.computeIfAbsent(id, key -> new Entry());
    entry.reportNanos = nowNanos;
    entry.isAsking = false;
    entry.silences = 0;
    entry.isGone = false;
  }

  void recordSilence(String id, boolean isGone, boolean isRefusing, long nowNanos) {
    Entry entry = entries.computeIfAbsent(id, key -> new Entry());
    entry.isRefusing = isRefusing;
    entry.isAsking = false;
    entry.isGone |= isGone;
    if (entry.silences == 0) {
      entry.silentSinceNanos = nowNanos;
    }
    entry.silences++;
    entry.lastSilenceNanos = nowNanos;
  }

  /**
   * Returns whether a box can be reached.
   *
   * @param isDoubtful true if its replica stands still, so that one silence is enough
   */
  Reach reach(String id, boolean isDoubtful, long nowNanos) {
    Entry entry = entries.get(id);
    if (entry == null) {
      return Reach.LIKELY;
    }
    if (entry.isGone) {
      return Reach.GONE;
    }
    boolean isSilent =
        entry.silences >= (isDoubtful ? 1 : SILENCES)
            || (entry.silences > 0 && nowNanos - entry.silentSinceNanos > LEAST_SILENCE_NANOS);
    return isSilent ? Reach.LOST : Reach.LIKELY;
  }

  /** Returns true if the box answered a question that was asked within the time. */
  boolean hasReport(String id, long withinNanos, long nowNanos) {
    Entry entry = entries.get(id);
    return entry != null && nowNanos - entry.reportNanos < withinNanos;
  }

  /** Returns true if the box has not been silent within the time. */
  boolean isSteady(String id, long withinNanos, long nowNanos) {
    Entry entry = entries.get(id);
    return entry == null || nowNanos - entry.lastSilenceNanos > withinNanos;
  }

  /** Returns how long the box has been silent whenever it was asked, or 0. */
  long silentNanos(String id, long nowNanos) {
    Entry entry = entries.get(id);
    return entry == null || entry.silences == 0 ? 0 : nowNanos - entry.silentSinceNanos;
  }

  /** Returns true if the box was not asked for that long and no answer is awaited. */
  boolean isDue(String id, long intervalNanos, long nowNanos) {
    Entry entry = entries.get(id);
    return entry == null || (!entry.isAsking && nowNanos - entry.askedNanos >= intervalNanos);
  }

  /** Returns true if nobody listened at the box's address when it was last asked. */
  boolean isRefusing(String id) {
    Entry entry = entries.get(id);
    return entry != null && entry.silences > 0 && entry.isRefusing;
  }

  /** Returns true if the last answer was a silence. */
  boolean isSilent(String id) {
    Entry entry = entries.get(id);
    return entry != null && entry.silences > 0;
  }

  void forget(String id) {
    entries.remove(id);
  }

  void retain(Set<String> ids) {
    entries.keySet().retainAll(ids);
  }

  private static final class Entry {
    private long askedNanos = Long.MIN_VALUE / 2;
    private long reportNanos = Long.MIN_VALUE / 2;
    private long silentSinceNanos;
    private long lastSilenceNanos = Long.MIN_VALUE / 2;
    private int silences;
    private boolean isAsking;
    private boolean isGone;
    private boolean isRefusing;
  }
}
