package org.shoreroad.admission;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;

/**
 * Room at the heads of one model in the domains that a process owns: grants, requests that wait for
 * room, and their order under overload.
 *
 * <p>Skeleton. Reads no clock: times are passed in, in nanoseconds of the steady clock. Not
 * thread-safe.
 *
 * @since 0.2
 */
public final class RoomBook {
  /** Creates a book without heads. */
  public RoomBook(EngineSpec spec, ModelShape model, Returns returns) {}

  /** Replaces the heads; grants at heads that are gone are dropped. */
  public void setHeads(Collection<HeadState> heads, long nowNanos) {
    throw new UnsupportedOperationException();
  }

  /**
   * Decides on a request for room, or lets it wait for a slot that is expected to become free in
   * time.
   *
   * @return the decisions that follow, of this request or of one that it displaces; without one of
   *     this request it waits
   */
  public List<RoomDecision> offer(RoomRequest request, long nowNanos) {
    throw new UnsupportedOperationException();
  }

  /** Withdraws a request that waits, or frees the room that it was granted. */
  public List<RoomDecision> end(RoomRequest.Key key, GrantEnd end, long nowNanos) {
    throw new UnsupportedOperationException();
  }

  /**
   * Renews the grants of a process. Grants that are not renewed for {@link #grantMillis()} expire.
   */
  public void renew(String holder, Set<Long> numbers, long nowNanos) {
    throw new UnsupportedOperationException();
  }

  /** Returns the time after which a grant that isn't renewed expires, in milliseconds. */
  public static int grantMillis() {
    return 1_500;
  }

  /** Expires grants and decides on the requests that wait, as far as that is possible now. */
  public List<RoomDecision> advance(long nowNanos) {
    throw new UnsupportedOperationException();
  }

  /** Returns the number of requests that wait for room. */
  public int waitingCount() {
    return 0;
  }

  /** Returns the number of further requests that could be granted room now, 0 or more. */
  public int freeCount(long nowNanos) {
    throw new UnsupportedOperationException();
  }
}
