package org.shoreroad.edge.relay;

import java.util.random.RandomGenerator;

/**
 * Delay after which a refused caller is asked to retry.
 *
 * <p>Each delay is the usual time until the cause of the refusal has passed, in milliseconds. It is
 * randomized, so that callers refused together do not retry together.
 */
enum RetryAfter {
  /** Another process can take the request now. */
  AT_ONCE(10),
  /** Another process usually has memory. */
  MEMORY(50),
  /** A slot at a replica or a plain upstream usually becomes free within this time. */
  PLACE(400),
  /**
   * A replica that lost a member usually serves again, or the proof of the configuration is
   * renewed, within this time.
   */
  REPLICA(700),
  /** A quarantined request or prompt part is not sent to an upstream for ten minutes. */
  QUARANTINE(600_000);

  private static final double SPREAD = 0.5;
  private static final double MILLIS_PER_SECOND = 1e3;

  private final int delayMs;

  RetryAfter(int delayMs) {
    this.delayMs = delayMs;
  }

  /** Returns the header value: seconds, from the delay to one and a half times the delay. */
  String headerValue(RandomGenerator random) {
    double randomizedMs = delayMs * (1 + SPREAD * random.nextDouble());
    return toSeconds(randomizedMs);
  }

  /**
   * Returns the header value for a planned return, or for {@link #PLACE} if none is planned.
   *
   * @param plannedMs the time after which the caller should return, in milliseconds, 0 for none
   */
  static String headerValue(int plannedMs, RandomGenerator random) {
    return plannedMs == 0 ? PLACE.headerValue(random) : toSeconds(plannedMs);
  }

  private static String toSeconds(double delayMs) {
    return Double.toString(Math.round(delayMs) / MILLIS_PER_SECOND);
  }
}
