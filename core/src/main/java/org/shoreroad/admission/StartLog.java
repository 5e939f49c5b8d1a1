package org.shoreroad.admission;

import java.util.ArrayDeque;
import java.util.Iterator;
import java.util.concurrent.TimeUnit;

/**
 * Starts of requests at one head in the last second, or in the interval of a lower rate.
 *
 * <p>Not thread-safe.
 */
final class StartLog {
  private static final double SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Bounds the memory; a head that may start more than this in a second needs no bound. */
  private static final int MAX_STARTS = 4_096;

  private final ArrayDeque<Long> startNanos = new ArrayDeque<>();

  void record(long nowNanos) {
    startNanos.addLast(nowNanos);
    if (startNanos.size() > MAX_STARTS) {
      startNanos.removeFirst();
    }
  }

  /**
   * Returns the number of starts that a rate permits now, over any second; for a rate below one in
   * a second, over any interval that the rate permits one start in.
   */
  int left(double perSecond, long nowNanos) {
    if (perSecond >= MAX_STARTS) {
      return Integer.MAX_VALUE;
    }
    if (perSecond <= 0) {
      return 0;
    }
    double intervalNanos = perSecond >= 1 ? SECOND_NANOS : SECOND_NANOS / perSecond;
    int allowed = perSecond >= 1 ? (int) perSecond : 1;
    return allowed - count((long) intervalNanos, nowNanos);
  }

  /** Returns the number of starts in the last interval. */
  int count(long intervalNanos, long nowNanos) {
    int count = 0;
    for (Iterator<Long> newest = startNanos.descendingIterator(); newest.hasNext(); count++) {
      if (nowNanos - newest.next() >= intervalNanos) {
        break;
      }
    }
    return count;
  }
}
