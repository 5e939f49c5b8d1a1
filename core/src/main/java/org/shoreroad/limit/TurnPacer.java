package org.shoreroad.limit;

/**
 * Spaces the requests of one process to one upstream evenly: the generic cell rate algorithm.
 *
 * <p>A turn may come half an interval early, so that a process whose requests come a little late
 * for some turns still has them all; a window of any length holds at most one turn and a half more
 * than the rate gives. Used by one thread.
 */
final class TurnPacer {
  /** A turn may come an interval divided by this early. */
  private static final int EARLY_DIVISOR = 2;

  private long intervalNanos;
  private long dueNanos;

  /**
   * Creates a pacer whose first turn comes after half an interval: the process that had the turns
   * before may have used one just now.
   *
   * @param intervalNanos the time from one turn to the next, positive
   */
  TurnPacer(long intervalNanos, long nowNanos) {
    this.intervalNanos = intervalNanos;
    this.dueNanos = nowNanos + intervalNanos;
  }

  /** Sets the time between turns; the next one comes within the new interval at the latest. */
  void setInterval(long newIntervalNanos, long nowNanos) {
    intervalNanos = newIntervalNanos;
    dueNanos = Math.min(dueNanos, nowNanos + newIntervalNanos);
  }

  /** Begins anew, as for a process that had no turns until now. */
  void restart(long nowNanos) {
    dueNanos = Math.max(dueNanos, nowNanos + intervalNanos);
  }

  /** Returns true if a request may leave now. */
  boolean hasTurn(long nowNanos) {
    return nowNanos >= dueNanos - intervalNanos / EARLY_DIVISOR;
  }

  /** Takes the turn that there is. */
  void take(long nowNanos) {
    dueNanos = Math.max(dueNanos, nowNanos) + intervalNanos;
  }
}
