package org.shoreroad.daemon.request;

import org.shoreroad.ShoreroadException;

/**
 * Receiver of the answer to one request, chunk by chunk.
 *
 * <p>The calls for one request are never concurrent: any number of chunks with increasing sequence
 * numbers, then exactly one end or failure. Implementations must not block.
 *
 * @since 0.1
 */
public interface AnswerSink {
  /**
   * Receives the next chunk.
   *
   * @param sequence the number of the chunk, from 0
   * @param bytes the chunk, which must not be modified
   */
  void onChunk(long sequence, byte[] bytes);

  /** Called when the answer is complete. */
  void onEnd();

  /** Called when the answer is incomplete and no further chunks follow. */
  void onFailure(ShoreroadException failure);
}
