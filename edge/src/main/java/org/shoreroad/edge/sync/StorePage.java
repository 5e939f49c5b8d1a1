package org.shoreroad.edge.sync;

import java.util.List;
import java.util.Objects;

/**
 * A page of records of a topic.
 *
 * @param records the records in order, all of one era
 * @param unreadable the positions of bytes in between that are no record of a keyed topic
 * @param end the position after the last record of the topic, with the era of the answer, not null
 * @param hasMore true if a listing of the newest records has another page
 * @since 0.2
 */
public record StorePage(
    List<StoreRecord> records, List<StorePosition> unreadable, StorePosition end, boolean hasMore) {
  /** Copies the lists. */
  public StorePage {
    records = List.copyOf(records);
    unreadable = List.copyOf(unreadable);
    Objects.requireNonNull(end, "end");
  }

  /** Creates a page of which all records are readable. */
  public StorePage(List<StoreRecord> records, StorePosition end, boolean hasMore) {
    this(records, List.of(), end, hasMore);
  }

  /** Returns true if the page contains no record, readable or not. */
  boolean isEmpty() {
    return records.isEmpty() && unreadable.isEmpty();
  }
}
