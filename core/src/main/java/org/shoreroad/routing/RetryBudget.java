package org.shoreroad.routing;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Retries as a share of the work: each first attempt earns a tenth of a retry.
 *
 * <p>So a fault that touches every request can't add more than a tenth to the load, whatever each
 * single request would like. A small stock lets a quiet client account retry at all.
 *
 * <p>Thread-safe and without locks.
 *
 * @since 0.1
 */
public final class RetryBudget {
  private static final long UNITS_PER_RETRY = 10;
  private static final long UNITS_PER_ATTEMPT = 1;
  private static final long START_UNITS = 3 * UNITS_PER_RETRY;
  private static final long MAX_UNITS = 20 * UNITS_PER_RETRY;

  private final AtomicLong units = new AtomicLong(START_UNITS);

  /** Notes a first attempt. */
  public void recordAttempt() {
    units.accumulateAndGet(UNITS_PER_ATTEMPT, (have, more) -> Math.min(MAX_UNITS, have + more));
  }

  /**
   * Takes one retry out of the budget.
   *
   * @return true if the budget had one
   */
  public boolean tryRetry() {
    long before =
        units.getAndUpdate(have -> have >= UNITS_PER_RETRY ? have - UNITS_PER_RETRY : have);
    return before >= UNITS_PER_RETRY;
  }
}
