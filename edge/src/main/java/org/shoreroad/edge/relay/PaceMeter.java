package org.shoreroad.edge.relay;

import java.util.concurrent.TimeUnit;

/**
 * Measures how much slower an engine is than its specification, from the time between its passes.
 *
 * <p>A slow head attracts requests because it is not full, and would be suspected again and again.
 * The choice of a head and {@link StallTimeout} therefore depend on its pace. Each pass produces an
 * event for every decoding request, so a process receives events in groups, one for each pass. Used
 * on the event loop.
 */
final class PaceMeter {
  /** Events closer together than this belong to one pass: the fastest pass takes 18 ms. */
  private static final long SAME_PASS_NANOS = TimeUnit.MILLISECONDS.toNanos(8);

  /** Weight of the newest pass in the moving average, which covers about five passes. */
  private static final double WEIGHT = 0.2;

  /** Maximum age of a measurement: later the engine may be as fast as specified again. */
  private static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** Maximum slowness recorded for one pass: a longer pass means a stall, not a slow engine. */
  private static final double MAX_SLOWNESS = 10;

  private double mean = 1;
  private long measuredNanos = Long.MIN_VALUE / 2;

  /**
   * Records the time between two events.
   *
   * @param pauseNanos the time since the previous event of any decoding request
   * @param passMs the specified duration of a pass, in milliseconds
   * @param nowNanos the time on the steady clock
   */
  void record(long pauseNanos, double passMs, long nowNanos) {
    if (pauseNanos < SAME_PASS_NANOS || passMs <= 0) {
      return;
    }
    double slowness = Math.min(MAX_SLOWNESS, pauseNanos / 1e6 / passMs);
    mean = slowness(nowNanos) + WEIGHT * (slowness - slowness(nowNanos));
    measuredNanos = nowNanos;
  }

  /**
   * Returns the measured duration of a pass divided by the specified one, at least 1, and 1 without
   * a recent measurement.
   */
  double slowness(long nowNanos) {
    return nowNanos - measuredNanos > MAX_AGE_NANOS ? 1 : Math.max(1, mean);
  }
}
