package org.shoreroad.admission;

import java.util.Collection;
import org.jspecify.annotations.Nullable;

/**
 * Choice of the head for a request: the one with the earliest forecast first event, with some
 * preference for the zone of the process that holds the request.
 *
 * <p>This class is immutable; it is as thread-safe as its head.
 *
 * @param head the head, or null if none can take the request
 * @param reason why the first head that was considered can't take the request; of no meaning if
 *     there is a head
 */
record HeadChoice(@Nullable HeadRoom head, RoomRefusal reason) {
  /** Share of a pass that a head in another zone must be earlier to be preferred. */
  private static final double ZONE_PASS_SHARE = 0.25;

  /**
   * Returns the choice of a head at which the request can be in time.
   *
   * @param mayQueue true if the request may wait in the queue of an engine
   */
  static HeadChoice inTime(
      Collection<HeadRoom> heads, WaitingRequest item, boolean mayQueue, long nowNanos) {
    return choose(heads, item, item.budgetMs(nowNanos), mayQueue, nowNanos);
  }

  /** Returns the choice of a head with a free slot for a request that is late in any case. */
  static HeadChoice late(Collection<HeadRoom> heads, WaitingRequest item, long nowNanos) {
    return choose(heads, item, Double.POSITIVE_INFINITY, false, nowNanos);
  }

  private static HeadChoice choose(
      Collection<HeadRoom> heads,
      WaitingRequest item,
      double budgetMs,
      boolean mayQueue,
      long nowNanos) {
    RoomRequest request = item.request();
    RoomRefusal reason = RoomRefusal.NO_HEAD;
    HeadRoom best = null;
    double bestMs = Double.POSITIVE_INFINITY;
    for (HeadRoom head : heads) {
      RoomRefusal refusal = head.check(request, nowNanos);
      double eventMs = refusal == null ? head.firstEventMs(request) : 0;
      if (refusal == null && !mayQueue && head.freeSlots(nowNanos) == 0) {
        refusal = RoomRefusal.TARGET_OUT_OF_REACH;
      }
      if (refusal == null && eventMs > budgetMs) {
        refusal = RoomRefusal.TARGET_OUT_OF_REACH;
      }
      if (refusal != null) {
        reason = reason == RoomRefusal.NO_HEAD ? refusal : reason;
        continue;
      }
      boolean isNear = head.state().zone().equals(request.zone());
      double comparedMs = isNear ? eventMs : eventMs + head.passMs() * ZONE_PASS_SHARE;
      if (comparedMs < bestMs) {
        best = head;
        bestMs = comparedMs;
      }
    }
    return new HeadChoice(best, reason);
  }
}
