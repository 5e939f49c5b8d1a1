package org.shoreroad.replica;

import java.util.concurrent.TimeUnit;

/**
 * The times of the owner's decisions.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param evidenceNanos how long a probe's answer counts
 * @param lostNanos how long a box is silent before its generation is dissolved
 * @param loadNanos how long a load may take before the generation is dissolved
 * @param orderNanos how long to wait before an order without visible effect is sent again
 * @param quarantineNanos how long after a dissolving the boxes stay bound at least: longer than a
 *     process may act on what it last read of the log
 * @param drainNanos how long running requests are waited for when a generation ends by plan
 * @since 0.1
 */
public record ReplicaTiming(
    long evidenceNanos,
    long lostNanos,
    long loadNanos,
    long orderNanos,
    long quarantineNanos,
    long drainNanos) {
  /** Returns the times for these numbers of milliseconds. */
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
