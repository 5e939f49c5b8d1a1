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

  private final Deque<StoreRecord> records = new ArrayDeque<>();
  private @Nullable StorePosition completeFrom;

  /** Removes all records and starts at a position; the order of earlier changes is not known. */
  public void restart(StorePosition position) {
    records.clear();
    completeFrom = position;
  }

  /** Adds a record that changed an entry. */
  public void add(StoreRecord record) {
    records.addLast(record);
    if (records.size() > CAPACITY) {
      StorePosition oldest = records.removeFirst().position();
      completeFrom = oldest.withOffset(oldest.offset() + 1);
    }
  }

  /** Returns the records from a position on, or null if they are not all known. */
  public @Nullable List<StoreRecord> since(StorePosition position) {
    if (completeFrom == null || !position.hasReached(completeFrom)) {
      return null;
    }
    return records.stream().filter(record -> record.position().hasReached(position)).toList();
  }
}
