package org.shoreroad.member;

import java.util.concurrent.TimeUnit;

/**
 * Timing parameters of the membership protocol.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param periodNanos the interval between two pings of peers in turn
 * @param ackTimeoutNanos the time without an answer to a ping after which indirect pings are
 *     requested
 * @param suspicionPeriods the minimum number of periods in which a suspect can refute the suspicion
 * @since 0.1
 */
public record MembershipTiming(long periodNanos, long ackTimeoutNanos, int suspicionPeriods) {
  /** Returns the timing for a period in milliseconds: a third of it as timeout, 3 periods. */
  public static MembershipTiming of(long periodMs) {
    long period = TimeUnit.MILLISECONDS.toNanos(periodMs);
    return new MembershipTiming(period, period / 3, 3);
  }
}
