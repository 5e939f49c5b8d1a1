package org.shoreroad.queue;

import java.util.concurrent.TimeUnit;

/**
 * Drain rate of a queue, and the retry delay for refused callers that follows from it.
 *
 * <p>The rate is an exponentially decaying mean of the completions in the last seconds. Not
 * thread-safe: confined to one thread.
 *
 * @since 0.1
 */
public final class DrainRate {
  /** Minimum retry delay, in milliseconds. */
  public static final long MIN_RETRY_AFTER_MS = 200;

  /** Maximum retry delay, in milliseconds. */
  public static final long MAX_RETRY_AFTER_MS = 60_000;

  private static final double DEFAULT_DECAY_SECONDS = 5;
  private static final double JITTER_SHARE = 0.5;
  private static final double MS_PER_SECOND = 1_000;

  private final double decaySeconds;
  private double completions;
  private long updatedNanos;

  /**
   * Creates a rate without completions.
   *
   * @param nowNanos the monotonic time
   */
  public DrainRate(long nowNanos) {
    this(nowNanos, DEFAULT_DECAY_SECONDS);
  }

  /**
   * Creates a rate without completions.
   *
   * @param nowNanos the monotonic time
   * @param decaySeconds the time in which the weight of a completion falls to 1/e, in seconds,
   *     above 0
   */
  public DrainRate(long nowNanos, double decaySeconds) {
    if (!(decaySeconds > 0)) {
      throw new IllegalArgumentException("decaySeconds must be above 0: " + decaySeconds);
    }
    this.decaySeconds = decaySeconds;
    this.updatedNanos = nowNanos;
  }

  /** Records one completion. */
  public void record(long nowNanos) {
    decay(nowNanos);
    completions++;
  }

  /** Returns the completions per second. */
  public double perSecond(long nowNanos) {
    decay(nowNanos);
    return completions / decaySeconds;
  }

  /**
   * Returns the retry delay: the expected wait for the items ahead, plus up to half of it as
   * jitter.
   *
   * @param nowNanos the monotonic time
   * @param ahead the number of items ahead, 0 or more
   * @param random a number from 0 (inclusive) to 1 (exclusive)
   * @return the delay in milliseconds, from {@link #MIN_RETRY_AFTER_MS} to {@link
   *     #MAX_RETRY_AFTER_MS}
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
      completions *= Math.exp(-elapsedSeconds / decaySeconds);
      updatedNanos = nowNanos;
    }
  }
}
