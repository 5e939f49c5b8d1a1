package org.shoreroad.replica;

import java.util.concurrent.TimeUnit;

/**
 * Timeouts and intervals of the owner's decisions.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param evidenceNanos the time for which the answer to a probe is valid
 * @param lostNanos the time without an answer from a box after which its generation is dissolved
 * @param loadNanos the time for a load after which the generation is dissolved
 * @param orderNanos the retry interval of an order without visible effect
 * @param quarantineNanos the minimum time for which the boxes of a dissolved generation stay bound:
 *     longer than a process may act on the log as it last read it
 * @param drainNanos the maximum wait for running requests when a generation is dissolved gracefully
 * @since 0.1
 */
public record ReplicaTiming(
    long evidenceNanos,
    long lostNanos,
    long loadNanos,
    long orderNanos,
    long quarantineNanos,
    long drainNanos) {
  /** Creates the timing from times in milliseconds. */
  public static ReplicaTiming ofMs(
      long evidenceMs, long lostMs, long loadMs, long orderMs, long quarantineMs, long drainMs) {
    return new ReplicaTiming(
        TimeUnit.MILLISECONDS.toNanos(evidenceMs),
        TimeUnit.MILLISECONDS.toNanos(lostMs),
        TimeUnit.MILLISECONDS.toNanos(loadMs),
        TimeUnit.MILLISECONDS.toNanos(orderMs),
        TimeUnit.MILLISECONDS.toNanos(quarantineMs),
        TimeUnit.MILLISECONDS.toNanos(drainMs));
  }
}
