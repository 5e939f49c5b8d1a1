package org.shoreroad.daemon.platform;

import java.util.List;

/**
 * What one read of a stream gave.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param earliest the offset of the earliest record the log still keeps, or head + 1 if none
 * @param head the offset of the last record, or 0 for none
 * @param records the records from the asked offset on, in order
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
   * @param offset its offset
   * @param bytes its content
   */
  public record Entry(long offset, byte[] bytes) {}
}
