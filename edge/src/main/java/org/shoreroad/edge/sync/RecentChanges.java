package org.shoreroad.edge.sync;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The newest records of the list that changed something, for processes that do not read the store
 * themselves. Used on the event loop.
 *
 * @since 0.2
 */
public final class RecentChanges {
  /** What many boxes change within some seconds; who lacks more reads the store itself. */
  private static final int CAPACITY = 2_048;

  private final Deque<StoreRecord> records = new ArrayDeque<>();
  private long completeFromOffset = Long.MAX_VALUE;

  /** Begins anew: what came before the offset is not known in order. */
  public void restart(long offset) {
    records.clear();
    completeFromOffset = offset;
  }

  /** Adds a record that changed something. */
  public void add(StoreRecord record) {
    records.addLast(record);
    if (records.size() > CAPACITY) {
      completeFromOffset = records.removeFirst().offset() + 1;
    }
  }

  /** Returns the records from an offset on, or null if they are not all known. */
  public @Nullable List<StoreRecord> since(long offset) {
    if (offset < completeFromOffset) {
      return null;
    }
    return records.stream().filter(record -> record.offset() >= offset).toList();
  }
}
