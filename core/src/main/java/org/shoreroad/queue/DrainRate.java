package org.shoreroad.queue;

import java.util.concurrent.TimeUnit;

/**
 * How fast a queue drains, and so when a refused caller should come back.
 *
 * <p>The rate is an exponentially decaying mean of the completions in the last seconds. Not
 * thread-safe: one thread owns it.
 *
 * @since 0.1
 */
public final class DrainRate {
  /** The least time that a caller is told to wait, in milliseconds. */
  public static final long MIN_RETRY_AFTER_MS = 200;

  /** The greatest time that a caller is told to wait, in milliseconds. */
  public static final long MAX_RETRY_AFTER_MS = 60_000;

  private static final double DECAY_SECONDS = 5;
  private static final double JITTER_SHARE = 0.5;
  private static final double MS_PER_SECOND = 1_000;

  private double completions;
  private long updatedNanos;

  /**
   * Starts with no completions.
   *
   * @param nowNanos the monotonic time
   */
  public DrainRate(long nowNanos) {
    updatedNanos = nowNanos;
  }

  /** Notes one completion. */
  public void record(long nowNanos) {
    decay(nowNanos);
    completions++;
  }

  /** Returns the completions a second. */
  public double perSecond(long nowNanos) {
    decay(nowNanos);
    return completions / DECAY_SECONDS;
  }

  /**
   * Returns when to come back: the time the items ahead need, plus up to half of it as jitter.
   *
   * @param nowNanos the monotonic time
   * @param ahead how many items are ahead, 0 or more
   * @param random a number from 0 (inclusive) to 1 (exclusive)
   * @return milliseconds, from {@link #MIN_RETRY_AFTER_MS} to {@link #MAX_RETRY_AFTER_MS}
   */
  public long retryAfterMs(long nowNanos, int ahead, double random) {
    double rate = perSecond(nowNanos);
    double waitMs = rate > 0 ? (ahead + 1) / rate * MS_PER_SECOND : MAX_RETRY_AFTER_MS / 4.0;
    double withJitterMs = waitMs * (1 + JITTER_SHARE * random);
    return Math.round(Math.max(MIN_RETRY_AFTER_MS, Math.min(MAX_RETRY_AFTER_MS, withJitterMs)));
  }

  private void decay(long nowNanos) {
    double elapsedSeconds = (nowNanos - updatedNanos) / (double) TimeUnit.SECONDS.toNanos(1);
    if (elapsedSeconds > 0) {
      completions *= Math.exp(-elapsedSeconds / DECAY_SECONDS);
      updatedNanos = nowNanos;
    }
  }
}
