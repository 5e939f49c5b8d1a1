package org.shoreroad.edge.relay;

import java.util.random.RandomGenerator;

/**
 * When a caller that is refused is asked to return.
 *
 * <p>Each delay is the time in which what the request lacked comes about as a rule. It is spread,
 * so that callers refused together do not return together.
 */
enum RetryAfter {
  /** Another process can take the request now. */
  AT_ONCE(10),
  /** A place at a replica or a plain upstream comes free in about this time. */
  PLACE(400),
  /** A replica that lost a member is mended, or a proof of the configuration renewed, by then. */
  REPLICA(700),
  /** The quarantine of a request that is not sent again ends after ten minutes. */
  QUARANTINE(600_000);

  private static final double SPREAD = 0.5;
  private static final double MILLIS = 1e3;

  private final int delayMs;

  RetryAfter(int delayMs) {
    this.delayMs = delayMs;
  }

  /** Returns the header's value in seconds, from the delay to one and a half times the delay. */
  String headerValue(RandomGenerator random) {
    double spreadMs = delayMs * (1 + SPREAD * random.nextDouble());
    return Double.toString(Math.round(spreadMs) / MILLIS);
  }
}
