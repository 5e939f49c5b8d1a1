package org.shoreroad.edge.peer;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.shoreroad.edge.sync.StorePosition;

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
   * Returns the position of the first record to send.
   *
   * @param held the position that the peer has acknowledged, not null
   * @param nowNanos the steady clock
   */
  StorePosition next(StorePosition held, long nowNanos) {
    // What was sent of another era does not reach a peer that has listed this one.
    told.removeIf(sent -> !sent.end().isSameEra(held));
    while (!told.isEmpty() && held.hasReached(told.peekFirst().end())) {
      told.removeFirst();
    }
    if (!told.isEmpty() && nowNanos - told.peekFirst().sentNanos() > RESEND_NANOS) {
      told.clear();
    }
    return told.isEmpty() ? held : told.peekLast().end();
  }

  /** Records that all records before the position have been sent. */
  void recordSent(StorePosition end, long nowNanos) {
    if (told.isEmpty() || !told.peekLast().end().hasReached(end)) {
      told.addLast(new Told(end, nowNanos));
    }
  }

  private record Told(StorePosition end, long sentNanos) {}
}
