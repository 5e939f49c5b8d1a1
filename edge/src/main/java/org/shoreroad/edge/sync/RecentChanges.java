package org.shoreroad.edge.sync;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The newest records that changed an entry of the list, for processes that do not read the store
 * themselves. All are of one era. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class RecentChanges {
  /**
   * Number of changes that many boxes make within some seconds. A process that lacks more reads the
   * store itself.
   */
  private static final int CAPACITY = 2_048;

  /** Maximum size of all values, in bytes: several times that of as many usual entries. */
  private static final long MAX_KEPT_BYTES = 4_194_304;

  /** Maximum size of the values sent at once, in bytes; half of the maximum size of a heartbeat. */
  private static final long MAX_SENT_BYTES = 524_288;

  private final Deque<StoreRecord> records = new ArrayDeque<>();
  private long keptBytes;
  private @Nullable StorePosition completeFrom;

  /** Removes all records and starts at a position; the order of earlier changes is not known. */
  public void restart(StorePosition position) {
    records.clear();
    keptBytes = 0;
    completeFrom = position;
  }

  /** Adds a record that changed an entry. */
  public void add(StoreRecord record) {
    records.addLast(record);
    keptBytes += sizeOf(record);
    while (records.size() > CAPACITY || keptBytes > MAX_KEPT_BYTES) {
      StoreRecord oldest = records.removeFirst();
      keptBytes -= sizeOf(oldest);
      completeFrom = oldest.position().withOffset(oldest.offset() + 1);
    }
  }

  /** Returns the size of the values of all kept records, in bytes. */
  long keptBytes() {
    return keptBytes;
  }

  private static long sizeOf(StoreRecord record) {
    byte[] value = record.value();
    return value == null ? 0 : value.length;
  }

  /**
   * Returns the records from a position on, or null if they are not all known or are too large for
   * a heartbeat.
   */
  public @Nullable List<StoreRecord> since(StorePosition position) {
    if (completeFrom == null || !position.hasReached(completeFrom)) {
      return null;
    }
    List<StoreRecord> found =
        records.stream().filter(record -> record.position().hasReached(position)).toList();
    long bytes = found.stream().mapToLong(RecentChanges::sizeOf).sum();
    return bytes > MAX_SENT_BYTES ? null : found;
  }
}
