package org.shoreroad.edge.relay;

import java.util.concurrent.TimeUnit;

/**
 * How long a head may give nothing before it is taken for one that stands still.
 *
 * <p>An engine works in passes, and each pass gives an event to every request whose prompt was
 * read. A process that has such a request at a head therefore hears from it with each pass, and
 * need not wait for what other processes tell.
 */
final class SilenceLimit {
  /** Passes that a head may be silent for. The time of one is known within a quarter. */
  private static final double PASSES = 1.25;

  /**
   * Added where a request of this process gets an event with each pass: it covers the way of an
   * event and one or two prompts (30 ms each) that other processes sent since their last heartbeat.
   */
  private static final long WRITER_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(90);

  /** Added where only heartbeats, which come every 200 ms, tell of progress. */
  private static final long HEARTBEAT_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** A head that is slower than this by its figures serves its requests worse than a move does. */
  private static final double SLOWEST = 4;

  private SilenceLimit() {}

  /**
   * Returns the limit for a head.
   *
   * @param engine the engines as they run the model there, not null
   * @param load what the head has, not null
   * @param nowNanos the steady clock
   * @return the time in nanoseconds
   */
  static long nanos(ModelEngine engine, UpstreamLoad load, long nowNanos) {
    double passMs = engine.passMs(load) * Math.min(SLOWEST, load.pace().slowness(nowNanos));
    long slackNanos = load.hasOwnWriter() ? WRITER_SLACK_NANOS : HEARTBEAT_SLACK_NANOS;
    return slackNanos + (long) (PASSES * passMs * 1e6);
  }
}
