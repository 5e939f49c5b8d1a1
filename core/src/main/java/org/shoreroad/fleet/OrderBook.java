package org.shoreroad.fleet;

import java.util.HashMap;
import java.util.Map;

/** Holds back orders that were given a moment ago and may just not have shown; for one thread. */
final class OrderBook {
  /** Orders older than this many intervals are forgotten. */
  private static final int KEPT_INTERVALS = 16;

  private final long repeatNanos;
  private final Map<String, Long> givenNanos = new HashMap<>();

  /**
   * Creates an empty book.
   *
   * @param repeatNanos how long the effect of an order is waited for, in nanoseconds
   */
  OrderBook(long repeatNanos) {
    this.repeatNanos = repeatNanos;
  }

  /** Returns true if the order was not given lately, and notes that it is given now. */
  boolean isDue(BoxOrder order, long nowNanos) {
    String key = order.boxId() + " " + order.verb() + " " + order.replica();
    Long lastNanos = givenNanos.get(key);
    if (lastNanos != null && nowNanos - lastNanos < repeatNanos) {
      return false;
    }
    givenNanos.values().removeIf(given -> nowNanos - given > KEPT_INTERVALS * repeatNanos);
    givenNanos.put(key, nowNanos);
    return true;
  }
}
