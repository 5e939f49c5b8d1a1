package org.shoreroad.edge;

import java.util.concurrent.TimeUnit;

/**
 * How late the event loop does what is due: it has too much to do, or the box gave it no time.
 *
 * <p>Everything that a process does waits as long. Used on the event loop.
 */
final class LoopLag {
  /** Below this a late timer says nothing: the clock of timers is coarse. */
  private static final long WORTH_TELLING_MS = 40;

  private final EventLog log;
  private final long intervalNanos;
  private long dueNanos;
  private long longestMs;

  /**
   * Creates a meter that has measured nothing.
   *
   * @param intervalMs how often {@link #measure} is to be called, in milliseconds
   */
  LoopLag(EventLog log, int intervalMs) {
    this.log = log;
    this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMs);
  }

  /** Measures how late it is called; a long delay is logged. */
  void measure(long nowNanos) {
    if (dueNanos != 0) {
      long lateMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - dueNanos);
      longestMs = Math.max(longestMs, lateMs);
      if (lateMs >= WORTH_TELLING_MS) {
        log.write("loop_late", "lateMs", lateMs);
      }
    }
    dueNanos = nowNanos + intervalNanos;
  }

  /** Returns the longest delay since the last call, in milliseconds. */
  long takeLongestMs() {
    long taken = longestMs;
    longestMs = 0;
    return taken;
  }
}
