package org.shoreroad.fleet;

import java.util.concurrent.TimeUnit;

/**
 * The times by which a domain's replicas are kept.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param orderRepeatNanos how long the effect of an order is waited for before it is given again
 * @param joinSlackNanos how much longer than its model's load time a formation may take
 * @param drainLimitNanos how long running requests may keep a closing replica, then they are cut
 * @param urgentDrainLimitNanos the same for a replica that makes room after a loss, or that moves
 *     though a member seems to be lost
 * @param headlessNanos how long the members of a replica whose head was never seen stay bound
 * @param warmingNanos how long a spare box may take weights from its host
 * @since 0.2
 */
public record ReconcilerTiming(
    long orderRepeatNanos,
    long joinSlackNanos,
    long drainLimitNanos,
    long urgentDrainLimitNanos,
    long headlessNanos,
    long warmingNanos) {
  /**
   * Half a second covers an order, its effect and the report of it; four seconds cover a loss in
   * between; eight seconds are below the ten for which a leaving member waits for its head; most
   * answers end within one and a half; a head that nobody can find is broken by its own engine
   * after five seconds, and three more for the store's list to come; weights come from a host
   * within two seconds, and twice that is lost.
   */
  public static final ReconcilerTiming DEFAULT =
      new ReconcilerTiming(
          TimeUnit.MILLISECONDS.toNanos(500),
          TimeUnit.SECONDS.toNanos(4),
          TimeUnit.SECONDS.toNanos(8),
          TimeUnit.MILLISECONDS.toNanos(1_500),
          TimeUnit.SECONDS.toNanos(8),
          TimeUnit.SECONDS.toNanos(4));
}
