package org.shoreroad.daemon.platform;

import java.util.List;

/**
 * The platform's append-only log service.
 *
 * <p>Implementations are thread-safe. Offsets begin at 1 in each stream.
 *
 * @since 0.1
 */
public interface PlatformLog {
  /**
   * Appends records to a stream, all or none, next to each other.
   *
   * @param stream the stream's name
   * @param records the records, at least one
   * @return the offset of the first
   * @throws LogException if it failed, or if the answer was lost and it may have taken effect
   */
  long append(String stream, List<byte[]> records);

  /**
   * Reads a stream.
   *
   * @param stream the stream's name
   * @param from the offset to begin at, 1 or more
   * @param max how many records at most
   * @param waitMs how long to wait for a record if there is none, in milliseconds
   * @return what was read
   * @throws LogException if it failed
   */
  LogBatch read(String stream, long from, int max, long waitMs);
}
