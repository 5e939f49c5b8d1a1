package org.shoreroad.edge.relay;

import java.util.concurrent.TimeUnit;

/**
 * Computes the stall timeout of a head: the longest time without an event before the head is
 * suspected.
 *
 * <p>An engine works in passes, and each pass produces an event for every decoding request, whose
 * prompt was read. A process with such a request at a head therefore receives an event with each
 * pass and does not depend on the heartbeats of other processes.
 */
final class StallTimeout {
  /** Tolerated passes without an event: the duration of a pass is known to within a quarter. */
  private static final double TOLERATED_PASSES = 1.25;

  /**
   * Slack if a request of this process gets an event with each pass. It covers the network and the
   * reading of one or two prompts that other processes sent since their last heartbeat.
   */
  private static final long DECODING_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(90);

  /** Slack if progress is known from heartbeats only, which arrive every 200 ms. */
  private static final long HEARTBEAT_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /**
   * Maximum slowness that lengthens the timeout: above it, another head serves a request better.
   */
  private static final double MAX_SLOWNESS = 4;

  private StallTimeout() {}

  /**
   * Returns the stall timeout of a head.
   *
   * @param engine the engine and the model of the head, not null
   * @param load the open requests and the pace of the head, not null
   * @param nowNanos the time on the steady clock
   * @return the timeout in nanoseconds
   */
  static long nanos(ModelEngine engine, UpstreamLoad load, long nowNanos) {
    double passMs = engine.passMs(load) * Math.min(MAX_SLOWNESS, load.pace().slowness(nowNanos));
    long slackNanos = load.hasOwnDecoding() ? DECODING_SLACK_NANOS : HEARTBEAT_SLACK_NANOS;
    return slackNanos + (long) (TOLERATED_PASSES * passMs * 1e6);
  }
}
