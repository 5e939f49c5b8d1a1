package org.shoreroad.bench;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.shoreroad.routing.RetryBudget;

/**
 * Simulates a brownout of an upstream for 30 seconds, with the retry budget and with three retries
 * per request.
 *
 * <p>Time is simulated in milliseconds. The upstream refuses requests beyond its capacity. A
 * refusal costs half as much as an answer, as the upstream must still read the request.
 */
final class RetryPolicies {
  private static final double ARRIVALS_PER_MS = 0.8;
  private static final double CAPACITY_PER_MS = 1.0;
  private static final double BROWNOUT_SHARE = 0.2;
  private static final double REFUSAL_COST = 0.5;
  private static final long BROWNOUT_FROM_MS = 30_000;
  private static final long BROWNOUT_TO_MS = 60_000;
  private static final long END_MS = 90_000;
  private static final long BACKOFF_MS = 50;
  private static final double BURST = 50;
  private static final int NAIVE_RETRIES = 3;

  private RetryPolicies() {}

  /**
   * The result of a run.
   *
   * @param amplification the attempts per request during the brownout
   * @param recoveryMs the time from the end of the brownout to the end of the first second in which
   *     answers reach 95 % of the arrivals, in milliseconds
   */
  record Result(double amplification, long recoveryMs) {}

  private record Attempt(long atMs, int retriesLeft) {}

  /** Simulates the brownout, with the retry budget or with three retries per request. */
  static Result run(boolean hasBudget, long seed) {
    Random random = new Random(seed);
    RetryBudget budget = new RetryBudget();
    Deque<Attempt> retries = new ArrayDeque<>();
    long arrivals = 0;
    long attempts = 0;
    long goodInSecond = 0;
    long arrivedInSecond = 0;
    long recoveryMs = -1;
    double credit = 0;
    for (long now = 0; now < END_MS; now++) {
      boolean isBrownout = now >= BROWNOUT_FROM_MS && now < BROWNOUT_TO_MS;
      credit = Math.min(BURST, credit + CAPACITY_PER_MS * (isBrownout ? BROWNOUT_SHARE : 1));
      int due = 0;
      if (random.nextDouble() < ARRIVALS_PER_MS) {
        budget.recordAttempt();
        arrivals += isBrownout ? 1 : 0;
        arrivedInSecond++;
        retries.addFirst(new Attempt(now, NAIVE_RETRIES));
        due++;
      }
      while (!retries.isEmpty() && (due-- > 0 || retries.peek().atMs() <= now)) {
        Attempt attempt = retries.poll();
        attempts += isBrownout ? 1 : 0;
        if (credit >= 1) {
          credit -= 1;
          goodInSecond++;
        } else {
          credit = Math.max(-BURST, credit - REFUSAL_COST);
          BooleanSupplier mayRetry = hasBudget ? budget::tryRetry : () -> attempt.retriesLeft() > 0;
          if (mayRetry.getAsBoolean()) {
            retries.addLast(new Attempt(now + BACKOFF_MS, attempt.retriesLeft() - 1));
          }
        }
      }
      if (now % 1_000 == 999) {
        boolean isGood = goodInSecond >= 0.95 * arrivedInSecond;
        if (now >= BROWNOUT_TO_MS && recoveryMs < 0 && isGood) {
          recoveryMs = now + 1 - BROWNOUT_TO_MS;
        }
        goodInSecond = 0;
        arrivedInSecond = 0;
      }
    }
    return new Result(attempts / (double) arrivals, recoveryMs < 0 ? END_MS : recoveryMs);
  }
}
