package org.shoreroad.demand;

import java.util.concurrent.TimeUnit;

/**
 * Highest value within the last 15 seconds, in steps of one second.
 *
 * <p>Boxes that change their model lose the weights of the former one on their host, so they can't
 * change back for as long as a load takes. A model therefore keeps the boxes that it needed a short
 * time ago. Not thread-safe: confined to one thread.
 */
final class RecentPeak {
  private static final int SECONDS = 15;
  private static final long STEP_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time without values after which it is not known which were the highest in between. */
  private static final int MAX_PAUSE_SECONDS = 2;

  private final double[] highest = new double[SECONDS];
  private long current = Long.MIN_VALUE;
  private long firstSecond;

  /** Adds a value of 0 or more. */
  void add(double value, long nowNanos) {
    long now = nowNanos / STEP_NANOS;
    long begun = current == Long.MIN_VALUE ? SECONDS : Math.min(SECONDS, now - current);
    for (long i = 0; i < begun; i++) {
      highest[indexOf(now - i)] = 0;
    }
    firstSecond = begun > MAX_PAUSE_SECONDS ? now : firstSecond;
    current = Math.max(current, now);
    int index = indexOf(current);
    highest[index] = Math.max(highest[index], value);
  }

  private static int indexOf(long second) {
    return (int) Math.floorMod(second, (long) SECONDS);
  }

  /** Returns true if values were added throughout the last 15 seconds, without a longer pause. */
  boolean isComplete() {
    return current != Long.MIN_VALUE && current - firstSecond >= SECONDS;
  }

  /** Returns the highest value of the last 15 seconds, or 0 without a value. */
  double value() {
    double peak = 0;
    for (double value : highest) {
      peak = Math.max(peak, value);
    }
    return peak;
  }
}
