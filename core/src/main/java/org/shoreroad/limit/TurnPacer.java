package org.shoreroad.limit;

/**
 * Rate limiter that spaces the requests of one process to one upstream evenly, by the generic cell
 * rate algorithm.
 *
 * <p>A turn is the permission to send one request. It may be used half an interval early, so that
 * requests that come slightly late for some turns do not lower the rate. A window of any length
 * then holds at most one and a half turns more than the rate allows. A strict pacer allows no early
 * turn: any two are an interval apart. Not thread-safe: confined to one thread.
 */
final class TurnPacer {
  /** Divisor of the interval that gives the time by which a turn may be used early. */
  private static final int EARLY_DIVISOR = 2;

  private final boolean isStrict;
  private long intervalNanos;
  private long dueNanos;

  /** Creates a pacer whose turns may be used early. */
  TurnPacer(long intervalNanos, long nowNanos) {
    this(false, intervalNanos, nowNanos);
  }

  /**
   * Creates a pacer whose first turn is available after half an interval, a whole one if it is
   * strict, since the process that held the share before may have used a turn just now.
   *
   * @param isStrict true if no turn may be used early
   * @param intervalNanos the time from one turn to the next, positive
   */
  TurnPacer(boolean isStrict, long intervalNanos, long nowNanos) {
    this.isStrict = isStrict;
    this.intervalNanos = intervalNanos;
    this.dueNanos = nowNanos + intervalNanos;
  }

  /** Sets the time between turns; the next turn is due within the new interval at the latest. */
  void setInterval(long newIntervalNanos, long nowNanos) {
    intervalNanos = newIntervalNanos;
    dueNanos = Math.min(dueNanos, nowNanos + newIntervalNanos);
  }

  /** Delays the next turn until the time at least. */
  void delayUntil(long nanos) {
    dueNanos = Math.max(dueNanos, nanos);
  }

  /** Delays the next turn as in a new pacer, when this process has just got its share. */
  void restart(long nowNanos) {
    dueNanos = Math.max(dueNanos, nowNanos + intervalNanos);
  }

  /** Returns true if a request may be sent now. */
  boolean hasTurn(long nowNanos) {
    return nowNanos >= dueNanos - (isStrict ? 0 : intervalNanos / EARLY_DIVISOR);
  }

  /** Uses the available turn. */
  void take(long nowNanos) {
    dueNanos = Math.max(dueNanos, nowNanos) + intervalNanos;
  }
}
