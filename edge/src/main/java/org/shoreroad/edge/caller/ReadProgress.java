package org.shoreroad.edge.caller;

import java.util.concurrent.TimeUnit;

/**
 * Time for which a caller has read nothing of the bytes that wait for it.
 *
 * <p>Only time between regular checks counts: after a suspension of this process, a caller that
 * went on reading would otherwise seem to have read nothing. Not thread-safe.
 *
 * @since 0.2
 */
final class ReadProgress {
  /** Longest time that is counted between two checks: twice their usual interval. */
  private static final long MAX_STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private boolean wasPending;
  private long sentParts;
  private long sentOfNextPart;
  private long checkedNanos;
  private long unreadNanos;

  /**
   * Records what the caller's connection has sent.
   *
   * @param pendingBytes the bytes that wait to be sent
   * @param sentParts the number of parts that were sent completely
   * @param sentOfNextPart the bytes of the next part that were sent
   * @param nowNanos the time on the steady clock
   */
  void update(long pendingBytes, long sentParts, long sentOfNextPart, long nowNanos) {
    boolean isPending = pendingBytes > 0;
    boolean hasRead = sentParts != this.sentParts || sentOfNextPart != this.sentOfNextPart;
    if (isPending && wasPending && !hasRead) {
      long stepNanos = Math.max(0, nowNanos - checkedNanos);
      unreadNanos += Math.min(stepNanos, MAX_STEP_NANOS);
    } else {
      unreadNanos = 0;
    }
    this.wasPending = isPending;
    this.sentParts = sentParts;
    this.sentOfNextPart = sentOfNextPart;
    this.checkedNanos = nowNanos;
  }

  /** Returns the time for which nothing was read although bytes wait, in nanoseconds. */
  long unreadNanos() {
    return unreadNanos;
  }
}
