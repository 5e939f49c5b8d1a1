package org.shoreroad.edge.relay;

import java.util.concurrent.TimeUnit;

/**
 * What has been received of an answer, and for how long its upstream has been writing. Used on the
 * event loop only.
 */
final class AnswerProgress {
  /** Pieces and time that an upstream doesn't reach if it crashes as it begins to answer. */
  private static final int MIN_WRITTEN_PIECES = 6;

  private static final long MIN_WRITTEN_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** The same with a wide margin, since what follows from it is not taken back. */
  private static final int MIN_SURVIVED_PIECES = 12;

  private static final long MIN_SURVIVED_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Maximum size of a body that is not forwarded; a connection with a longer one is closed. */
  private static final int MAX_IGNORED_BYTES = 65_536;

  /** Time after the head for which the end of such a body is awaited. */
  private static final long MAX_IGNORED_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private int pieces;
  private long firstNanos;
  private long lastNanos;
  private long headNanos;
  private long bytes;

  void recordHead(long nowNanos) {
    headNanos = nowNanos;
  }

  void recordBytes(int count) {
    bytes += count;
  }

  /** Records a piece of a body, or the end of an event. */
  void recordPiece(long nowNanos) {
    pieces++;
    firstNanos = pieces == 1 ? nowNanos : firstNanos;
    lastNanos = nowNanos;
  }

  /** Forgets the pieces so far, since reading was paused or resumed. */
  void restart() {
    pieces = 0;
  }

  /** Returns the time from the first to the last piece, or -1 if none has come. */
  long writingNanos() {
    return pieces == 0 ? -1 : lastNanos - firstNanos;
  }

  /** Returns true if the upstream has answered for longer than one that crashes at the start. */
  boolean isBeingWritten() {
    return pieces >= MIN_WRITTEN_PIECES && writingNanos() >= MIN_WRITTEN_NANOS;
  }

  /** Returns true if the upstream has answered for so long that the request won't crash it. */
  boolean isWellUnderWay() {
    return pieces >= MIN_SURVIVED_PIECES && writingNanos() >= MIN_SURVIVED_NANOS;
  }

  /** Returns true if the end of a body that is not forwarded need not be awaited any more. */
  boolean isTooLongToIgnore(long nowNanos) {
    return bytes > MAX_IGNORED_BYTES || nowNanos - headNanos > MAX_IGNORED_NANOS;
  }
}
