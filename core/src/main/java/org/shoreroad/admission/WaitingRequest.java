package org.shoreroad.admission;

/**
 * Request that waits for room.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param request the request, not null
 * @param offeredNanos the time at which it was offered, in nanoseconds of the steady clock
 * @param dueNanos the time by which its first event is to come
 * @param sharePpm the share of an engine that it takes, in millionths
 * @param isInvited whether its caller was invited to return
 */
record WaitingRequest(
    RoomRequest request, long offeredNanos, long dueNanos, long sharePpm, boolean isInvited) {
  /**
   * Share of the target for which a request waits at most. A caller that is refused later has too
   * little time for another attempt.
   */
  private static final double PATIENCE_SHARE = 0.25;

  private static final double NANOS_PER_MS = 1e6;

  /** Returns the time left to the first event in milliseconds, negative if it has passed. */
  double budgetMs(long nowNanos) {
    return (dueNanos - nowNanos) / NANOS_PER_MS;
  }

  /** Returns the time for which it may wait further, in milliseconds, negative if it has passed. */
  double patienceMs(long nowNanos) {
    double ageMs = request.ageMs() + (nowNanos - offeredNanos) / NANOS_PER_MS;
    return request.targetLatencyMs() * PATIENCE_SHARE - ageMs;
  }

  /** Returns the time since the caller first came, in milliseconds. */
  int ageMs(long nowNanos) {
    return request.ageMs() + (int) ((nowNanos - offeredNanos) / NANOS_PER_MS);
  }

  /** Returns the time until the caller's deadline, in milliseconds, 0 or more. */
  int remainingMs(long nowNanos) {
    long waitedMs = (long) ((nowNanos - offeredNanos) / NANOS_PER_MS);
    return (int) Math.max(0, request.remainingMs() - waitedMs);
  }
}
