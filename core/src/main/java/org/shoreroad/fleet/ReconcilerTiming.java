package org.shoreroad.fleet;

import java.util.concurrent.TimeUnit;

/**
 * Time limits of a {@link DomainReconciler}.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param orderRepeatNanos the time after which an order without visible effect is repeated
 * @param joinSlackNanos the time that a formation may take beyond the load time of its model
 * @param drainLimitNanos the time that running requests of a closing replica have before they are
 *     cancelled
 * @param urgentDrainLimitNanos the same for a replica that is closed after a loss to free its
 *     boxes, or whose requests still progress although a member seems to be lost
 * @param headlessNanos how long the members of a replica stay bound whose head was never observed,
 *     or does not confirm that it is elsewhere
 * @param warmupNanos the time that a spare box may take to load weights from its host
 * @since 0.2
 */
public record ReconcilerTiming(
    long orderRepeatNanos,
    long joinSlackNanos,
    long drainLimitNanos,
    long urgentDrainLimitNanos,
    long headlessNanos,
    long warmupNanos) {
  /**
   * The defaults:
   *
   * <ul>
   *   <li>order repeat, 0.5 s: covers an order, its effect and the report of it;
   *   <li>join slack, 4 s: covers a loss during the formation;
   *   <li>drain, 8 s: less than the 10 s for which a leaving member waits for its head;
   *   <li>urgent drain, 1.5 s: most answers end within this time;
   *   <li>headless, 8 s: the engine of a head without connection breaks the replica after 5 s, and
   *       the list from the store may be 3 s late;
   *   <li>warm-up, 4 s: weights load from a host within 2 s; after twice that the order is lost.
   * </ul>
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
