package org.shoreroad.edge.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * How far one peer was told the list of upstreams, so that each record goes to it once and not
 * again with each heartbeat until the peer has said that it has it. Used on the event loop.
 */
final class ListProgress {
  /**
   * What a peer has not said to have by then is told again: three heartbeats at 200 ms. The
   * connection may have been lost with what was under way.
   */
  private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final Deque<Told> told = new ArrayDeque<>();

  /**
   * Returns the offset from which the peer is to be told.
   *
   * @param heldOffset how far the peer has said that it has read
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

  /** Notes that the peer is told now up to an offset. */
  void noteTold(long endOffset, long nowNanos) {
    if (told.isEmpty() || told.peekLast().endOffset() < endOffset) {
      told.addLast(new Told(endOffset, nowNanos));
    }
  }

  private record Told(long endOffset, long sentNanos) {}
}
