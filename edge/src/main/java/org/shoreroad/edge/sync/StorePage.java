package org.shoreroad.edge.sync;

import java.util.List;

/**
 * A run of records.
 *
 * @param records the records in order
 * @param endOffset the offset after the last record of the topic
 * @param hasMore true if a listing of the newest records goes on
 * @since 0.2
 */
public record StorePage(List<StoreRecord> records, long endOffset, boolean hasMore) {
  /** Copies the list. */
  public StorePage {
    records = List.copyOf(records);
  }
}
