package org.shoreroad.member;

import java.util.concurrent.TimeUnit;

/**
 * The times of the membership.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param periodNanos how often one peer is asked
 * @param ackTimeoutNanos how long an answer may take before others are asked to ask
 * @param suspicionPeriods how many periods a suspect has to object at least
 * @since 0.1
 */
public record MembershipTiming(long periodNanos, long ackTimeoutNanos, int suspicionPeriods) {
  /** Returns the times that follow from the period. */
  public static MembershipTiming of(long periodMs) {
    long period = TimeUnit.MILLISECONDS.toNanos(periodMs);
    return new MembershipTiming(period, period / 3, 3);
  }
}
