package org.shoreroad.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Callers that were refused, by the hash of the content, with the time at which each first came.
 *
 * <p>A caller that returns sends a new request, whose age starts again, although the target counts
 * from the caller's first one. Several callers may send the same content, so an entry counts them.
 * The memory is bounded: the oldest entries are dropped. Not thread-safe.
 */
final class RefusedCallers {
  private final int capacity;
  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  /** Callers with the same content. */
  private static final class Entry {
    private long firstNanos;
    private long expiryNanos;
    private int count;
  }

  /**
   * Creates an empty table.
   *
   * @param capacity the maximum number of contents, above 0
   */
  RefusedCallers(int capacity) {
    this.capacity = capacity;
  }

  /**
   * Adds a refused caller.
   *
   * @param firstNanos the time at which it first came
   * @param remainingMs the time until its deadline, after which it does not return
   */
  void add(long contentHash, long firstNanos, long remainingMs, long nowNanos) {
    Entry entry = entries.computeIfAbsent(contentHash, hash -> new Entry());
    entry.firstNanos = entry.count == 0 ? firstNanos : Math.min(entry.firstNanos, firstNanos);
    entry.expiryNanos =
        Math.max(entry.expiryNanos, nowNanos + TimeUnit.MILLISECONDS.toNanos(remainingMs));
    entry.count++;
    dropOldest(nowNanos);
  }

  /** Returns the time at which a caller with this content first came, or null if none is known. */
  @Nullable Long findFirstNanos(long contentHash, long nowNanos) {
    Entry entry = entries.get(contentHash);
    return entry == null || nowNanos - entry.expiryNanos > 0 ? null : (Long) entry.firstNanos;
  }

  /** Removes one caller with this content, which has returned. */
  void remove(long contentHash) {
    Entry entry = entries.get(contentHash);
    if (entry != null) {
      entry.count--;
      if (entry.count == 0) {
        entries.remove(contentHash);
      }
    }
  }

  /** Returns the number of contents. */
  int size() {
    return entries.size();
  }

  private void dropOldest(long nowNanos) {
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      boolean isExpired = nowNanos - oldest.next().expiryNanos > 0;
      if (!isExpired && entries.size() <= capacity) {
        return;
      }
      oldest.remove();
    }
  }
}
