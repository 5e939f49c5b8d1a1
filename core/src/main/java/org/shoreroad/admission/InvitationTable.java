package org.shoreroad.admission;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Bounded table of invitations by the hash of the content.
 *
 * <p>Several callers may send the same content, so an entry counts the callers that are expected.
 * Not thread-safe.
 *
 * @since 0.2
 */
final class InvitationTable {
  private static final long PRUNE_NANOS = 100_000_000;

  private final int capacity;
  private final int maxEqual;
  private final long earlyNanos;
  private final Map<Long, Entry> entries = new HashMap<>();
  private long prunedNanos;

  /**
   * Creates an empty table.
   *
   * @param capacity the maximum number of contents
   * @param maxEqual the maximum number of callers with the same content
   * @param earlyNanos the time by which a caller may come before its due time, in nanoseconds
   */
  InvitationTable(int capacity, int maxEqual, long earlyNanos) {
    this.capacity = capacity;
    this.maxEqual = maxEqual;
    this.earlyNanos = earlyNanos;
  }

  /** Returns true if a further caller with this content can be added. */
  boolean hasRoom(long contentHash, long nowNanos) {
    Entry entry = find(contentHash, nowNanos);
    if (entry != null) {
      return entry.count < maxEqual;
    }
    if (entries.size() >= capacity) {
      prune(nowNanos);
    }
    return entries.size() < capacity;
  }

  /** Adds a caller, if there is room. */
  void add(long contentHash, long dueNanos, long expiryNanos, long nowNanos) {
    if (!hasRoom(contentHash, nowNanos)) {
      return;
    }
    Entry entry = entries.get(contentHash);
    if (entry == null) {
      entries.put(contentHash, new Entry(dueNanos, expiryNanos));
      return;
    }
    entry.count++;
    entry.dueNanos = Math.min(entry.dueNanos, dueNanos);
    entry.expiryNanos = Math.max(entry.expiryNanos, expiryNanos);
  }

  /** Returns true if a caller with this content is due. */
  boolean isDue(long contentHash, long nowNanos) {
    Entry entry = find(contentHash, nowNanos);
    return entry != null && nowNanos >= entry.dueNanos - earlyNanos;
  }

  /** Returns the due time of the first caller with this content, or null if none is expected. */
  @Nullable Long findDueNanos(long contentHash, long nowNanos) {
    Entry entry = find(contentHash, nowNanos);
    return entry == null ? null : (Long) entry.dueNanos;
  }

  /**
   * Removes one caller with this content.
   *
   * @return true if there was one
   */
  boolean remove(long contentHash) {
    Entry entry = entries.get(contentHash);
    if (entry == null) {
      return false;
    }
    entry.count--;
    if (entry.count == 0) {
      entries.remove(contentHash);
    }
    return true;
  }

  /** Returns the number of contents. */
  int size() {
    return entries.size();
  }

  private @Nullable Entry find(long contentHash, long nowNanos) {
    Entry entry = entries.get(contentHash);
    if (entry != null && nowNanos > entry.expiryNanos) {
      entries.remove(contentHash);
      return null;
    }
    return entry;
  }

  /** Removes what has expired; not at each call, since a full table would be scanned each time. */
  private void prune(long nowNanos) {
    if (nowNanos - prunedNanos >= PRUNE_NANOS) {
      prunedNanos = nowNanos;
      entries.values().removeIf(entry -> nowNanos > entry.expiryNanos);
    }
  }

  /** Callers that are expected with the same content. */
  private static final class Entry {
    private long dueNanos;
    private long expiryNanos;
    private int count = 1;

    private Entry(long dueNanos, long expiryNanos) {
      this.dueNanos = dueNanos;
      this.expiryNanos = expiryNanos;
    }
  }
}
