package org.shoreroad.replica;

import org.jspecify.annotations.Nullable;

/**
 * The last that was seen of one box.
 *
 * <p>Evidence counts from the moment its probe was <em>sent</em>, so that neither a slow answer nor
 * a pause of this process makes it look fresher than it is. This class is immutable and
 * thread-safe.
 *
 * @param report the last answer, or null if there was none
 * @param sentNanos when the answered probe was sent, on the monotonic clock
 * @param hasFailedSince whether a later probe failed
 * @since 0.1
 */
public record BoxEvidence(@Nullable BoxReport report, long sentNanos, boolean hasFailedSince) {
  /** Returns the evidence of a box that nothing was seen of, looked for since this time. */
  public static BoxEvidence of(long sinceNanos) {
    return new BoxEvidence(null, sinceNanos, false);
  }

  /** Returns the evidence after an answer to a probe sent at this time; the newest counts. */
  public BoxEvidence withReport(BoxReport next, long probeSentNanos) {
    boolean isNewer = report == null || probeSentNanos - sentNanos >= 0;
    return isNewer ? new BoxEvidence(next, probeSentNanos, false) : this;
  }

  /** Returns the evidence after a probe that was sent at this time and failed. */
  public BoxEvidence withFailure(long probeSentNanos) {
    return probeSentNanos - sentNanos >= 0 ? new BoxEvidence(report, sentNanos, true) : this;
  }

  /** Returns true if the box answered, to a probe sent at most this long ago, and none failed. */
  public boolean isFresh(long nowNanos, long maxAgeNanos) {
    return report != null && !hasFailedSince && nowNanos - sentNanos <= maxAgeNanos;
  }

  /** Returns for how long nothing was seen of the box. */
  public long silentNanos(long nowNanos) {
    return nowNanos - sentNanos;
  }
}
