package org.shoreroad.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Recent orders to the boxes of a domain. Suppresses repeated orders whose effect may not be
 * visible yet. Not thread-safe: used by one thread.
 */
final class RecentOrders {
  /** Orders older than this many intervals are removed. */
  private static final int RETENTION_INTERVALS = 16;

  /**
   * An accepted order is not repeated for this many intervals. An engine may restart its opening
   * with each order to open, and slow boxes open in 2 to 3 s.
   */
  private static final int ACCEPTED_INTERVALS = 6;

  private final long repeatNanos;
  private final Map<String, Long> givenNanos = new HashMap<>();
  private final Map<String, Long> acceptedNanos = new HashMap<>();

  /**
   * Creates a tracker without orders.
   *
   * @param repeatNanos the time after which an order without visible effect is repeated, in
   *     nanoseconds
   */
  RecentOrders(long repeatNanos) {
    this.repeatNanos = repeatNanos;
  }

  /** Returns true if the order was not given recently, and then records it as given now. */
  boolean isDue(BoxOrder order, long nowNanos) {
    String key = keyOf(order);
    Long lastNanos = givenNanos.get(key);
    Long lastAcceptedNanos = acceptedNanos.get(key);
    boolean isUnderWay =
        lastAcceptedNanos != null
            && nowNanos - lastAcceptedNanos < ACCEPTED_INTERVALS * repeatNanos;
    if (isUnderWay || (lastNanos != null && nowNanos - lastNanos < repeatNanos)) {
      return false;
    }
    givenNanos.values().removeIf(given -> nowNanos - given > RETENTION_INTERVALS * repeatNanos);
    acceptedNanos
        .values()
        .removeIf(accepted -> nowNanos - accepted > RETENTION_INTERVALS * repeatNanos);
    givenNanos.put(key, nowNanos);
    return true;
  }

  /** Records that the engine has accepted the order. */
  void recordAccepted(BoxOrder order, long nowNanos) {
    acceptedNanos.put(keyOf(order), nowNanos);
  }

  /** Removes the orders to a box. */
  void forget(String boxId) {
    givenNanos.keySet().removeIf(key -> key.startsWith(boxId + " "));
    acceptedNanos.keySet().removeIf(key -> key.startsWith(boxId + " "));
  }

  private static String keyOf(BoxOrder order) {
    return order.boxId() + " " + order.verb() + " " + order.replica();
  }
}
