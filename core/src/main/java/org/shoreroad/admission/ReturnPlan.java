package org.shoreroad.admission;

import java.util.List;

/**
 * Times at which refused callers return to the replicas of one model.
 *
 * <p>Skeleton; used by {@link RoomBook}.
 *
 * @since 0.2
 */
public final class ReturnPlan implements Returns {
  /** Records that a slot became free. */
  @Override
  public void recordFreed(long nowNanos) {
    throw new UnsupportedOperationException();
  }

  /** Returns true if a caller with this content was invited to return and has not returned yet. */
  @Override
  public boolean isExpected(long contentHash, long nowNanos) {
    throw new UnsupportedOperationException();
  }

  /** Removes the invitation of a caller that has returned. */
  @Override
  public void recordReturned(long contentHash) {
    throw new UnsupportedOperationException();
  }

  /**
   * Plans the return of a refused caller.
   *
   * @param contentHash the hash of the request's content
   * @param waitingAhead the number of requests that wait for room and go first
   * @param remainingMs the time until the caller's deadline, in milliseconds
   * @param nowNanos the time on the steady clock
   * @return the time after which the caller should return, in milliseconds
   */
  @Override
  public int invite(long contentHash, int waitingAhead, int remainingMs, long nowNanos) {
    throw new UnsupportedOperationException();
  }

  /** Returns the invitations that other owners of the model lack, and marks them as reported. */
  public List<Ticket> takeNewTickets(long nowNanos) {
    throw new UnsupportedOperationException();
  }

  /** Adds the invitations of another owner. */
  public void addTickets(List<Ticket> tickets, long nowNanos) {
    throw new UnsupportedOperationException();
  }

  /**
   * Invitation of a refused caller, for the other owners.
   *
   * @param contentHash the hash of the request's content
   * @param dueMs the time until the planned return, in milliseconds, negative if it has passed
   */
  public record Ticket(long contentHash, int dueMs) {}
}
