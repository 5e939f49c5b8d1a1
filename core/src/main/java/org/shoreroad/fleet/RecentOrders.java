package org.shoreroad.fleet;

import java.util.HashMap;
import java.util.Map;

/** Holds back orders that were given a moment ago and may just not have shown; for one thread. */
final class RecentOrders {
  /** Orders older than this many intervals are forgotten. */
  private static final int KEPT_INTERVALS = 16;

  /**
   * An order that was taken is not given again for this many intervals: an engine may begin anew
   * with each opening, and slow boxes open in two to three seconds.
   */
  private static final int TAKEN_INTERVALS = 6;

  private final long repeatNanos;
  private final Map<String, Long> givenNanos = new HashMap<>();
  private final Map<String, Long> takenNanos = new HashMap<>();

  /**
   * Creates an empty book.
   *
   * @param repeatNanos how long the effect of an order is waited for, in nanoseconds
   */
  RecentOrders(long repeatNanos) {
    this.repeatNanos = repeatNanos;
  }

  /** Returns true if the order was not given lately, and notes that it is given now. */
  boolean isDue(BoxOrder order, long nowNanos) {
    String key = keyOf(order);
    Long lastNanos = givenNanos.get(key);
    Long lastTakenNanos = takenNanos.get(key);
    boolean isUnderWay =
        lastTakenNanos != null && nowNanos - lastTakenNanos < TAKEN_INTERVALS * repeatNanos;
    if (isUnderWay || (lastNanos != null && nowNanos - lastNanos < repeatNanos)) {
      return false;
    }
    givenNanos.values().removeIf(given -> nowNanos - given > KEPT_INTERVALS * repeatNanos);
    takenNanos.values().removeIf(taken -> nowNanos - taken > KEPT_INTERVALS * repeatNanos);
    givenNanos.put(key, nowNanos);
    return true;
  }

  /** Notes that the engine said that it carries the order out. */
  void recordAccepted(BoxOrder order, long nowNanos) {
    takenNanos.put(keyOf(order), nowNanos);
  }

  /** Forgets the orders to a box. */
  void forget(String boxId) {
    givenNanos.keySet().removeIf(key -> key.startsWith(boxId + " "));
    takenNanos.keySet().removeIf(key -> key.startsWith(boxId + " "));
  }

  private static String keyOf(BoxOrder order) {
    return order.boxId() + " " + order.verb() + " " + order.replica();
  }
}
