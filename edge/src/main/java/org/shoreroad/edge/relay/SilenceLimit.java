package org.shoreroad.edge.relay;

import java.util.concurrent.TimeUnit;

/**
 * Computes the stall timeout of a head: the longest time without an event before the head is
 * suspected.
 *
 * <p>An engine works in passes, and each pass gives an event to every request whose prompt was
 * read. A process that has such a request at a head therefore hears from it with each pass, and
 * need not wait for what other processes tell.
 */
final class SilenceLimit {
  /** Passes without an event that are tolerated. The time of one is known within a quarter. */
  private static final double PASSES = 1.25;

  /**
   * Added where a request of this process gets an event with each pass. It covers the network and
   * the reading of one or two prompts that other processes sent since their last heartbeat.
   */
  private static final long WRITER_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(90);

  /** Added where progress is known from heartbeats only, which come every 200 ms. */
  private static final long HEARTBEAT_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** A head that is slower than this factor serves a request worse than another head would. */
  private static final double SLOWEST = 4;

  private SilenceLimit() {}

  /**
   * Returns the stall timeout of a head.
   *
   * @param engine the engines as they run the model there, not null
   * @param load the open requests and the pace of the head, not null
   * @param nowNanos the steady clock
   * @return the timeout in nanoseconds
   */
  static long nanos(ModelEngine engine, UpstreamLoad load, long nowNanos) {
    double passMs = engine.passMs(load) * Math.min(SLOWEST, load.pace().slowness(nowNanos));
    long slackNanos = load.hasOwnWriter() ? WRITER_SLACK_NANOS : HEARTBEAT_SLACK_NANOS;
    return slackNanos + (long) (PASSES * passMs * 1e6);
  }
}
