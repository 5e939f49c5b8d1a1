package org.shoreroad.daemon.platform;

import java.util.List;

/**
 * The result of one read of a stream.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param earliest the offset of the earliest record that the log retains, or head + 1 if none
 * @param head the offset of the last record, or 0 for none
 * @param records the records from the requested offset on, in order
 * @since 0.1
 */
public record LogBatch(long earliest, long head, List<Entry> records) {
  /** Copies the list. */
  public LogBatch {
    records = List.copyOf(records);
  }

  /**
   * One record.
   *
   * @param offset the offset
   * @param bytes the content
   */
  public record Entry(long offset, byte[] bytes) {}
}
