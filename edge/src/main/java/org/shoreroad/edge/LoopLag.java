package org.shoreroad.edge;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

/**
 * Meter of the delay of the event loop's timers. The loop is late if it is overloaded or the
 * process gets no processor time; all work of the process is then delayed as much.
 *
 * <p>Not thread-safe: used on the event loop.
 */
final class LoopLag {
  /** Minimum delay that is logged; shorter ones are within the resolution of timers. */
  private static final long MIN_LOGGED_MS = 40;

  private final EventLog log;
  private final LongConsumer delayListener;
  private final long intervalNanos;
  private long dueNanos;
  private long longestMs;

  /**
   * Creates a meter without measurements.
   *
   * @param intervalMs the interval between calls of {@link #measure}, in milliseconds
   * @param delayListener called with each delay, in nanoseconds, not null
   */
  LoopLag(EventLog log, int intervalMs, LongConsumer delayListener) {
    this.log = log;
    this.delayListener = delayListener;
    this.intervalNanos = TimeUnit.MILLISECONDS.toNanos(intervalMs);
  }

  /** Measures the delay of this call against the interval; a long delay is logged. */
  void measure(long nowNanos) {
    if (dueNanos != 0) {
      long lateMs = TimeUnit.NANOSECONDS.toMillis(nowNanos - dueNanos);
      longestMs = Math.max(longestMs, lateMs);
      delayListener.accept(Math.max(0, nowNanos - dueNanos));
      if (lateMs >= MIN_LOGGED_MS) {
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
