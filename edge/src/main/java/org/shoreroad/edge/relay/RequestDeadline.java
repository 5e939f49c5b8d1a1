package org.shoreroad.edge.relay;

import java.util.concurrent.TimeUnit;

/**
 * Time at which a request ends. The time for which its answer is paused, because its caller reads
 * more slowly than the upstream writes, does not count.
 *
 * <p>Used on the event loop only. All times are on the steady clock, in nanoseconds.
 *
 * @since 0.2
 */
final class RequestDeadline {
  /** Shortest time that is given to an upstream. */
  private static final int MIN_REMAINING_MS = 20;

  private long endNanos;
  private long pausedSinceNanos;
  private boolean isPaused;

  /**
   * Sets the deadline.
   *
   * @param arrivedNanos the time at which the request arrived
   * @param timeoutMs the time for it, in milliseconds
   */
  void set(long arrivedNanos, long timeoutMs) {
    endNanos = arrivedNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
  }

  /** Begins a pause, unless there is one. */
  void pause(long nowNanos) {
    if (!isPaused) {
      isPaused = true;
      pausedSinceNanos = nowNanos;
    }
  }

  /** Ends a pause, and moves the deadline by its length. */
  void resume(long nowNanos) {
    if (isPaused) {
      isPaused = false;
      endNanos += nowNanos - pausedSinceNanos;
    }
  }

  boolean isPaused() {
    return isPaused;
  }

  boolean isPassed(long nowNanos) {
    return !isPaused && nowNanos - endNanos >= 0;
  }

  long endNanos() {
    return endNanos;
  }

  /** Returns the time left for an upstream, in milliseconds, at least a short one. */
  long remainingMs(long nowNanos) {
    return Math.max(MIN_REMAINING_MS, TimeUnit.NANOSECONDS.toMillis(endNanos - nowNanos));
  }
}
