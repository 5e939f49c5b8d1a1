package org.shoreroad.admission;

import java.util.concurrent.TimeUnit;
import org.shoreroad.queue.DrainRate;

/**
 * Rate at which slots become free while callers are refused.
 *
 * <p>Without refusals, slots become free no faster than requests arrive, so what was observed then
 * is only a lower bound of the rate. The observation therefore starts over with the first refusal
 * after a pause. Until slots have become free, the rate is the assumed one. Not thread-safe.
 *
 * @since 0.2
 */
final class FreedRate {
  /** Rate that is assumed before any slot has become free: that of about two replicas. */
  static final double ASSUMED_PER_SECOND = 25;

  /** Short, since the load changes within seconds. */
  private static final double DECAY_SECONDS = 1.5;

  /** Slots that the assumed rate counts for, against those that have become free. */
  private static final double ASSUMED_WEIGHT = 1;

  private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final double NANOS_PER_SECOND = 1e9;

  private DrainRate rate;
  private boolean hasObserved;
  private boolean hasRefused;
  private long lastRefusalNanos;
  private long observedSinceNanos;
  private double assumedPerSecond = ASSUMED_PER_SECOND;

  /** Creates a rate without observations. */
  FreedRate() {
    this.rate = new DrainRate(0, DECAY_SECONDS);
  }

  /** Records that a slot became free. */
  void recordFreed(long nowNanos) {
    if (!hasObserved) {
      startObserving(nowNanos);
    }
    rate.record(nowNanos);
  }

  /** Records that a caller is refused. */
  void recordRefusal(long nowNanos) {
    if (!hasRefused || nowNanos - lastRefusalNanos > PAUSE_NANOS) {
      assumedPerSecond = Math.max(ASSUMED_PER_SECOND, perSecond(nowNanos));
      startObserving(nowNanos);
    }
    hasRefused = true;
    lastRefusalNanos = nowNanos;
  }

  private void startObserving(long nowNanos) {
    hasObserved = true;
    observedSinceNanos = nowNanos;
    rate = new DrainRate(nowNanos, DECAY_SECONDS);
  }

  /** Returns the slots that become free in a second, above 0. */
  double perSecond(long nowNanos) {
    if (!hasObserved) {
      return assumedPerSecond;
    }
    double ageSeconds = Math.max(0, nowNanos - observedSinceNanos) / NANOS_PER_SECOND;
    double observedSeconds = DECAY_SECONDS * (1 - Math.exp(-ageSeconds / DECAY_SECONDS));
    double freed = rate.perSecond(nowNanos) * DECAY_SECONDS;
    return (freed + ASSUMED_WEIGHT) / (observedSeconds + ASSUMED_WEIGHT / assumedPerSecond);
  }
}
