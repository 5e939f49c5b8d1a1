package org.shoreroad.standins;

import java.util.ArrayDeque;
import java.util.Deque;

/** A count that is reported with a lag. Thread-safe. */
final class LaggingCount {
  private static final long LAG_NANOS = 500_000_000L;

  private final Deque<Change> changes = new ArrayDeque<>();
  private int current;
  private int reported;

  private record Change(long atNanos, int count) {}

  synchronized void add(int amount) {
    current += amount;
    changes.addLast(new Change(System.nanoTime(), current));
  }

  /** Returns the latest count that is older than the lag. */
  synchronized int reported() {
    while (!changes.isEmpty() && System.nanoTime() - changes.peekFirst().atNanos() >= LAG_NANOS) {
      reported = changes.removeFirst().count();
    }
    return reported;
  }
}
