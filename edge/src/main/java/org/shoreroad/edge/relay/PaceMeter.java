package org.shoreroad.edge.relay;

import java.util.concurrent.TimeUnit;

/**
 * How slow an engine is against what its figures say, from the time between its passes; used on the
 * event loop.
 *
 * <p>A slow head attracts requests, since it is not full, and would be suspected again and again.
 * So the choice of a head and {@link SilenceLimit} depend on its pace. Each pass gives an event to
 * every request that writes, so the events of one process come in groups, one for each pass.
 */
final class PaceMeter {
  /** Events nearer to each other than this belong to one pass: the quickest takes 18 ms. */
  private static final long SAME_PASS_NANOS = TimeUnit.MILLISECONDS.toNanos(8);

  /** The weight of the newest pass: about the last five count. */
  private static final double WEIGHT = 0.2;

  /** What was seen counts this long: then the engine may be as quick as its figures say. */
  private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(3);

  /** A longer pass says that the engine stands still, not how slow it is. */
  private static final double SLOWEST = 10;

  private double mean = 1;
  private long seenNanos = Long.MIN_VALUE / 2;

  /**
   * Takes the time between two events.
   *
   * @param pauseNanos the time since the event before, of any request that writes
   * @param passMs how long a pass takes by the engine's figures, in milliseconds
   * @param nowNanos the steady clock
   */
  void record(long pauseNanos, double passMs, long nowNanos) {
    if (pauseNanos < SAME_PASS_NANOS || passMs <= 0) {
      return;
    }
    double slowness = Math.min(SLOWEST, pauseNanos / 1e6 / passMs);
    mean = slowness(nowNanos) + WEIGHT * (slowness - slowness(nowNanos));
    seenNanos = nowNanos;
  }

  /**
   * Returns how many times as long as by its figures a pass takes, 1 if that was not seen lately.
   */
  double slowness(long nowNanos) {
    return nowNanos - seenNanos > KEPT_NANOS ? 1 : Math.max(1, mean);
  }
}
