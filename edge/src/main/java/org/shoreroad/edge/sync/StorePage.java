package org.shoreroad.edge.sync;

import java.util.List;
import java.util.Objects;

/**
 * A page of records of a topic.
 *
 * @param records the records in order, all of one era
 * @param end the position after the last record of the topic, with the era of the answer, not null
 * @param hasMore true if a listing of the newest records has another page
 * @since 0.2
 */
public record StorePage(List<StoreRecord> records, StorePosition end, boolean hasMore) {
  /** Copies the list. */
  public StorePage {
    records = List.copyOf(records);
    Objects.requireNonNull(end, "end");
  }
}
