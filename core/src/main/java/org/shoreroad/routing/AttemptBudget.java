package org.shoreroad.routing;

import java.util.concurrent.TimeUnit;

/**
 * Limit of the repeats that this process may send to one service.
 *
 * <p>A repeat is an attempt after a request's first one. Within a sliding window, all processes
 * together may send a ratio of their first attempts plus a fixed slack, which is divided evenly
 * among the processes considered alive. A process without contact keeps the share it had. Not
 * thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class AttemptBudget {
  private static final int BUCKETS = 10;

  /** Used share of the allowance: the windows of the processes don't begin at the same time. */
  private static final double USED_SHARE = 0.7;

  private final double ratio;
  private final double slack;
  private final long bucketNanos;
  private final long[] bucketNumbers = new long[BUCKETS];
  private final int[] firsts = new int[BUCKETS];
  private final int[] repeats = new int[BUCKETS];

  /**
   * Creates a budget.
   *
   * @param ratio the repeats allowed per first attempt, 0 or more
   * @param slack the additional repeats allowed in one window, for all processes together
   * @param windowSeconds the length of the window, in seconds, positive
   */
  public AttemptBudget(double ratio, double slack, int windowSeconds) {
    this.ratio = ratio;
    this.slack = slack;
    this.bucketNanos = TimeUnit.SECONDS.toNanos(windowSeconds) / BUCKETS;
  }

  /** Counts a first attempt. */
  public void recordFirst(long nowNanos) {
    firsts[bucket(nowNanos)]++;
  }

  /**
   * Takes one repeat from the budget, if there is one.
   *
   * @param nowNanos the monotonic time
   * @param processes the number of processes considered alive, including this one, at least 1
   * @return true if the repeat is allowed
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
    if (repeatSum + 1 > USED_SHARE * (ratio * firstSum + slack / processes)) {
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
