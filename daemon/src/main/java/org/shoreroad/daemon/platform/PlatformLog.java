package org.shoreroad.daemon.platform;

import java.util.List;

/**
 * The platform's append-only log service.
 *
 * <p>Implementations are thread-safe. The offsets of each stream start at 1.
 *
 * @since 0.1
 */
public interface PlatformLog {
  /**
   * Appends records to a stream atomically, at consecutive offsets.
   *
   * @param stream the stream's name
   * @param records the records, at least one
   * @return the offset of the first record
   * @throws LogException if the append failed, or if its answer was lost and it may have taken
   *     effect
   */
  long append(String stream, List<byte[]> records);

  /**
   * Reads a stream.
   *
   * @param stream the stream's name
   * @param from the first offset to read, at least 1
   * @param max the maximum number of records
   * @param waitMs the maximum time to wait for a record if there is none, in milliseconds
   * @return the records read
   * @throws LogException if the read failed
   */
  LogBatch read(String stream, long from, int max, long waitMs);
}
