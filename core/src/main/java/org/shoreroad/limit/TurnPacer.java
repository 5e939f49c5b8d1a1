package org.shoreroad.limit;

/**
 * Rate limiter that spaces the requests of one process to one upstream evenly, by the generic cell
 * rate algorithm.
 *
 * <p>A turn is the permission to send one request. It may be used half an interval early, so that
 * requests that come slightly late for some turns do not lower the rate. A window of any length
 * holds at most one and a half turns more than the rate allows. Not thread-safe: confined to one
 * thread.
 */
final class TurnPacer {
  /** Divisor of the interval that gives the time by which a turn may be used early. */
  private static final int EARLY_DIVISOR = 2;

  private long intervalNanos;
  private long dueNanos;

  /**
   * Creates a pacer whose first turn is available after half an interval, since the process that
   * held the share before may have used a turn just now.
   *
   * @param intervalNanos the time from one turn to the next, positive
   */
  TurnPacer(long intervalNanos, long nowNanos) {
    this.intervalNanos = intervalNanos;
    this.dueNanos = nowNanos + intervalNanos;
  }

  /** Sets the time between turns; the next turn is due within the new interval at the latest. */
  void setInterval(long newIntervalNanos, long nowNanos) {
    intervalNanos = newIntervalNanos;
    dueNanos = Math.min(dueNanos, nowNanos + newIntervalNanos);
  }

  /** Delays the next turn as in a new pacer, when this process has just got its share. */
  void restart(long nowNanos) {
    dueNanos = Math.max(dueNanos, nowNanos + intervalNanos);
  }

  /** Returns true if a request may be sent now. */
  boolean hasTurn(long nowNanos) {
    return nowNanos >= dueNanos - intervalNanos / EARLY_DIVISOR;
  }

  /** Uses the available turn. */
  void take(long nowNanos) {
    dueNanos = Math.max(dueNanos, nowNanos) + intervalNanos;
  }
}
