package org.shoreroad.admission;

import org.shoreroad.queue.DrainRate;

/**
 * Share of the freed slots that is left to callers that return.
 *
 * <p>New requests compete for the same slots, and unlike most returns they can still be in time. So
 * the share falls with the part of them that is refused, down to its minimum. It also falls
 * whenever a caller that returned is refused again, and recovers slowly with callers that return.
 * Not thread-safe.
 *
 * @since 0.2
 */
final class ReturnShare {
  /**
   * Share that is always left to returns. Most of them are late, and requests in time are not to
   * fall by more than a tenth when the load rises; returns take half of it at most.
   */
  static final double MIN_SHARE = 0.05;

  /** Share while no new request is refused. */
  static final double MAX_SHARE = 0.6;

  /** Part of the new requests that is refused at which the share has its minimum. */
  private static final double MAX_REFUSED_PART = 0.1;

  private static final double DECAY_SECONDS = 1;
  private static final double FACTOR_PER_REPEATED_REFUSAL = 0.8;
  private static final double GAIN_PER_RETURN = 0.01;

  private final DrainRate refusals = new DrainRate(0, DECAY_SECONDS);
  private double limit = MAX_SHARE;

  /** Records that a caller that was not invited is refused. */
  void recordRefusal(long nowNanos) {
    refusals.record(nowNanos);
  }

  /** Records that an invited caller returned. */
  void recordReturned() {
    limit = Math.min(MAX_SHARE, limit + GAIN_PER_RETURN);
  }

  /** Records that a caller that returned is refused again. */
  void recordRefusedAgain() {
    limit = Math.max(MIN_SHARE, limit * FACTOR_PER_REPEATED_REFUSAL);
  }

  /**
   * Returns the share.
   *
   * @param freedPerSecond the slots that become free in a second, above 0
   * @param nowNanos the time on the steady clock
   * @return the share, from {@link #MIN_SHARE} to {@link #MAX_SHARE}
   */
  double share(double freedPerSecond, long nowNanos) {
    double refusedPerSecond = refusals.perSecond(nowNanos);
    double refusedPart = refusedPerSecond / (freedPerSecond + refusedPerSecond);
    return Math.max(MIN_SHARE, limit * (1 - refusedPart / MAX_REFUSED_PART));
  }
}
