package org.shoreroad.edge.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Send progress of the upstream list towards one peer. Each record is sent once instead of with
 * each heartbeat until the peer acknowledges it. Used on the event loop.
 */
final class ListProgress {
  /**
   * Retransmission timeout: three heartbeats of 200 ms. Records in flight are lost together with
   * their connection.
   */
  private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final Deque<Told> told = new ArrayDeque<>();

  /**
   * Returns the offset of the first record to send.
   *
   * @param heldOffset the offset that the peer has acknowledged
   * @param nowNanos the steady clock
   */
  long nextOffset(long heldOffset, long nowNanos) {
    while (!told.isEmpty() && told.peekFirst().endOffset() <= heldOffset) {
      told.removeFirst();
    }
    if (!told.isEmpty() && nowNanos - told.peekFirst().sentNanos() > RESEND_NANOS) {
      told.clear();
    }
    return told.isEmpty() ? heldOffset : told.peekLast().endOffset();
  }

  /** Records that all records before the offset have been sent. */
  void noteTold(long endOffset, long nowNanos) {
    if (told.isEmpty() || told.peekLast().endOffset() < endOffset) {
      told.addLast(new Told(endOffset, nowNanos));
    }
  }

  private record Told(long endOffset, long sentNanos) {}
}
