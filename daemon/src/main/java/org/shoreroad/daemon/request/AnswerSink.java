package org.shoreroad.daemon.request;

import org.shoreroad.ShoreroadException;

/**
 * Where an answer goes, piece by piece.
 *
 * <p>The calls for one request come one after the other: any number of chunks with rising sequence
 * numbers, then exactly one end or failure. Implementations don't block.
 *
 * @since 0.1
 */
public interface AnswerSink {
  /**
   * Takes the next piece.
   *
   * @param sequence its number, from 0
   * @param bytes the piece, not to be written to
   */
  void onChunk(long sequence, byte[] bytes);

  /** Takes the end: the answer is whole. */
  void onEnd();

  /** Takes the failure: the answer is not whole, and nothing more comes. */
  void onFailure(ShoreroadException failure);
}
