package org.shoreroad.routing;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Token bucket that limits retries: each first attempt earns a tenth of a retry.
 *
 * <p>A fault that affects every request therefore adds at most a tenth to the load, whatever the
 * retry policy of a single request. Three retries are available at the start, so that a client
 * account with few requests can retry too.
 *
 * <p>This class is thread-safe and lock-free.
 *
 * @since 0.1
 */
public final class RetryBudget {
  private static final long UNITS_PER_RETRY = 10;
  private static final long UNITS_PER_ATTEMPT = 1;
  private static final long START_UNITS = 3 * UNITS_PER_RETRY;
  private static final long MAX_UNITS = 20 * UNITS_PER_RETRY;

  private final AtomicLong units = new AtomicLong(START_UNITS);

  /** Adds the units that a first attempt earns. */
  public void recordAttempt() {
    units.accumulateAndGet(
        UNITS_PER_ATTEMPT, (available, earned) -> Math.min(MAX_UNITS, available + earned));
  }

  /**
   * Takes one retry from the budget, if there is one.
   *
   * @return true if the retry is allowed
   */
  public boolean tryRetry() {
    long before =
        units.getAndUpdate(
            available -> available >= UNITS_PER_RETRY ? available - UNITS_PER_RETRY : available);
    return before >= UNITS_PER_RETRY;
  }
}
