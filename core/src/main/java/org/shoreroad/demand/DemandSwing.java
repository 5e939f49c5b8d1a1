package org.shoreroad.demand;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Detects that the demand for a service is uneven: in its busiest seconds it is at least twice that
 * of the calmest seconds shortly before or after.
 *
 * <p>Only then do callers compete for room at times while it is idle at others. The difference must
 * also exceed what random arrivals show. Once detected, demand counts as uneven for a while, since
 * the next rise may come as much later. This class reads no clock: times are passed in, in
 * nanoseconds of the steady clock. Not thread-safe.
 */
public final class DemandSwing {
  /** Time between two samples that are used; each covers a second. */
  private static final long SAMPLE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Number of samples that are compared, a period of a quarter of a minute. */
  private static final int SAMPLES = 16;

  private static final int SUMMED = 3;
  private static final double MIN_RATIO = 2;

  /** Multiple of the standard deviation of random arrivals that the difference must exceed. */
  private static final double MIN_DEVIATIONS = 5;

  private static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final ArrayDeque<Integer> samples = new ArrayDeque<>();
  private long sampledNanos = Long.MIN_VALUE / 2;
  private long unevenNanos = Long.MIN_VALUE / 2;

  /**
   * Records the requests that arrived within the last second. Calls within a second of the last one
   * that was used are ignored, as is the time before the first request.
   *
   * @param arrived the number of requests in all processes, 0 or more
   * @param nowNanos the time on the steady clock
   */
  public void record(int arrived, long nowNanos) {
    boolean isBeforeTraffic = samples.isEmpty() && arrived == 0;
    if (isBeforeTraffic || nowNanos - sampledNanos < SAMPLE_NANOS) {
      return;
    }
    sampledNanos = nowNanos;
    samples.addLast(Math.max(0, arrived));
    if (samples.size() > SAMPLES) {
      samples.removeFirst();
    }
    if (differs()) {
      unevenNanos = nowNanos;
    }
  }

  /** Returns true if the demand is uneven, or was within the last half minute. */
  public boolean isUneven(long nowNanos) {
    return nowNanos - unevenNanos < HOLD_NANOS;
  }

  /** Compares sums of a few samples, which vary less by chance than single ones. */
  private boolean differs() {
    int[] values = samples.stream().mapToInt(Integer::intValue).toArray();
    long calmest = Long.MAX_VALUE;
    long busiest = 0;
    for (int last = SUMMED - 1; last < values.length; last++) {
      long sum = 0;
      for (int i = 0; i < SUMMED; i++) {
        sum += values[last - i];
      }
      calmest = Math.min(calmest, sum);
      busiest = Math.max(busiest, sum);
    }
    return busiest >= MIN_RATIO * calmest
        && busiest - calmest >= MIN_DEVIATIONS * Math.sqrt(busiest);
  }
}
