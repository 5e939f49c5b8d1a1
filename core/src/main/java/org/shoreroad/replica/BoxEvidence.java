package org.shoreroad.replica;

import org.jspecify.annotations.Nullable;

/**
 * Last probe results of one box.
 *
 * <p>The age of the evidence counts from the time its probe was <em>sent</em>, so that neither a
 * slow answer nor a pause of this process makes it look fresher than it is. This class is immutable
 * and thread-safe.
 *
 * @param report the last answer, or null if there was none
 * @param sentNanos the time on the monotonic clock at which the answered probe was sent
 * @param hasFailedSince whether a later probe failed
 * @since 0.1
 */
public record BoxEvidence(@Nullable BoxReport report, long sentNanos, boolean hasFailedSince) {
  /** Returns the evidence of a box without an answer that has been probed since this time. */
  public static BoxEvidence of(long sinceNanos) {
    return new BoxEvidence(null, sinceNanos, false);
  }

  /** Returns the evidence after an answer to a probe sent at this time; an older one is ignored. */
  public BoxEvidence withReport(BoxReport next, long probeSentNanos) {
    boolean isNewer = report == null || probeSentNanos - sentNanos >= 0;
    return isNewer ? new BoxEvidence(next, probeSentNanos, false) : this;
  }

  /** Returns the evidence after the failure of a probe sent at this time. */
  public BoxEvidence withFailure(long probeSentNanos) {
    return probeSentNanos - sentNanos >= 0 ? new BoxEvidence(report, sentNanos, true) : this;
  }

  /** Returns true if the box answered a probe of at most this age and no later probe failed. */
  public boolean isFresh(long nowNanos, long maxAgeNanos) {
    return report != null && !hasFailedSince && nowNanos - sentNanos <= maxAgeNanos;
  }

  /** Returns the time since the last answered probe was sent. */
  public long silentNanos(long nowNanos) {
    return nowNanos - sentNanos;
  }
}
