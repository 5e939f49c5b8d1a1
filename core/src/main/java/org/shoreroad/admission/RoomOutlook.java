package org.shoreroad.admission;

import java.util.Collection;

/**
 * Expected change of the room at all usable heads.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param roomPerMs the requests that become possible in a millisecond
 * @param passMs the mean duration of a pass, in milliseconds, 0 without a usable head
 */
record RoomOutlook(double roomPerMs, double passMs) {
  static RoomOutlook of(Collection<HeadRoom> heads, long nowNanos) {
    double roomPerMs = 0;
    double totalMs = 0;
    int count = 0;
    for (HeadRoom head : heads) {
      if (head.state().isUsable()) {
        roomPerMs += head.roomPerMs(nowNanos);
        totalMs += head.passMs();
        count++;
      }
    }
    return new RoomOutlook(roomPerMs, count == 0 ? 0 : totalMs / count);
  }
}
