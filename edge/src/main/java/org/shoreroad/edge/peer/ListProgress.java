package org.shoreroad.edge.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.shoreroad.edge.sync.StorePosition;

/**
 * Send progress of the upstream list to one peer. Each record is sent once instead of with each
 * heartbeat until the peer acknowledges it. Not thread-safe: for use on the event loop.
 */
final class ListProgress {
  /**
   * Retransmission timeout: three heartbeats of 200 ms. Records in flight are lost together with
   * their connection.
   */
  private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private final Deque<Sent> sent = new ArrayDeque<>();

  /**
   * Returns the position of the first record to send.
   *
   * @param acknowledged the position that the peer has acknowledged, not null
   * @param nowNanos the steady clock
   */
  StorePosition next(StorePosition acknowledged, long nowNanos) {
    // A peer that has listed this era never acknowledges positions sent in another era.
    sent.removeIf(entry -> !entry.end().isSameEra(acknowledged));
    while (!sent.isEmpty() && acknowledged.hasReached(sent.peekFirst().end())) {
      sent.removeFirst();
    }
    if (!sent.isEmpty() && nowNanos - sent.peekFirst().sentNanos() > RESEND_NANOS) {
      sent.clear();
    }
    return sent.isEmpty() ? acknowledged : sent.peekLast().end();
  }

  /** Records that all records before the position have been sent. */
  void recordSent(StorePosition end, long nowNanos) {
    if (sent.isEmpty() || !sent.peekLast().end().hasReached(end)) {
      sent.addLast(new Sent(end, nowNanos));
    }
  }

  private record Sent(StorePosition end, long sentNanos) {}
}
