package org.shoreroad.routing;

import java.util.concurrent.TimeUnit;

/**
 * This process's share of the repeats that all processes together may send to one service.
 *
 * <p>Over a sliding window, repeats may be a ratio of the first attempts and a fixed slack, which
 * is divided among the processes believed alive. A process that is cut off keeps the share it had.
 * Used by one thread.
 *
 * @since 0.2
 */
public final class AttemptBudget {
  private static final int BUCKETS = 10;

  /** The part of the allowance that is used: the processes' windows don't begin together. */
  private static final double USED_PART = 0.7;

  private final double ratio;
  private final double slack;
  private final long bucketNanos;
  private final long[] bucketNumbers = new long[BUCKETS];
  private final int[] firsts = new int[BUCKETS];
  private final int[] repeats = new int[BUCKETS];

  /**
   * Creates a budget.
   *
   * @param ratio the repeats allowed for each first attempt, 0 or more
   * @param slack the repeats allowed beside, over all processes, in one window
   * @param windowSeconds the length of the window, in seconds, positive
   */
  public AttemptBudget(double ratio, double slack, int windowSeconds) {
    this.ratio = ratio;
    this.slack = slack;
    this.bucketNanos = TimeUnit.SECONDS.toNanos(windowSeconds) / BUCKETS;
  }

  /** Notes a first attempt. */
  public void recordFirst(long nowNanos) {
    firsts[bucket(nowNanos)]++;
  }

  /**
   * Takes one repeat out of the budget.
   *
   * @param nowNanos the steady clock
   * @param processes the processes believed alive, this one among them, at least 1
   * @return true if the budget had one
   */
  public boolean tryRepeat(long nowNanos, int processes) {
    int current = bucket(nowNanos);
    int firstSum = 0;
    int repeatSum = 0;
    for (int i = 0; i < BUCKETS; i++) {
      if (bucketNumbers[current] - bucketNumbers[i] < BUCKETS) {
        firstSum += firsts[i];
        repeatSum += repeats[i];
      }
    }
    if (repeatSum + 1 > USED_PART * (ratio * firstSum + slack / processes)) {
      return false;
    }
    repeats[current]++;
    return true;
  }

  private int bucket(long nowNanos) {
    long number = Math.floorDiv(nowNanos, bucketNanos);
    int index = Math.floorMod(number, BUCKETS);
    if (bucketNumbers[index] != number) {
      bucketNumbers[index] = number;
      firsts[index] = 0;
      repeats[index] = 0;
    }
    return index;
  }
}
