package org.shoreroad.admission;

/**
 * Invitations of refused callers to return, as {@link RoomBook} uses them.
 *
 * <p>Implementations need not be thread-safe; they are called on the thread of the book. Times are
 * in nanoseconds of the steady clock.
 *
 * @since 0.2
 */
public interface Returns {
  /** Records that a slot became free. */
  void recordFreed(long nowNanos);

  /** Returns true if a caller with this content was invited to return and has not returned yet. */
  boolean isExpected(long contentHash, long nowNanos);

  /**
   * Returns the time since a caller first came that was refused and now returns, in milliseconds, 0
   * if no caller with this content was refused. The caller is then no longer one that may return.
   */
  int takeCallerAgeMs(long contentHash, long nowNanos);

  /**
   * Records that a caller was refused, so that it is recognized when it returns, invited or not.
   *
   * @param ageMs the time since the caller first came, in milliseconds
   * @param remainingMs the time until its deadline, in milliseconds
   */
  void recordRefused(long contentHash, int ageMs, int remainingMs, long nowNanos);

  /** Removes the invitation of a caller that has returned; does nothing if there is none. */
  void recordReturned(long contentHash);

  /**
   * Plans the return of a refused caller.
   *
   * @param contentHash the hash of the request's content
   * @param waitingAhead the number of requests that wait for room and go first
   * @param remainingMs the time until the caller's deadline, in milliseconds
   * @param nowNanos the time on the steady clock
   * @return the time after which the caller should return, in milliseconds
   */
  int invite(long contentHash, int waitingAhead, int remainingMs, long nowNanos);
}
