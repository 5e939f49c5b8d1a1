package org.shoreroad.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * What an engine stand-in publishes of its prompt cache: late, and with gaps.
 *
 * <p>Each event is shown only after a lag, and every tenth is lost. Thread-safe.
 */
final class CacheEvents {
  private static final long LAG_NANOS = 300_000_000L;
  private static final int LOST_EVERY = 10;
  private static final int MAX_EVENTS = 1_000;

  private final Deque<Event> events = new ArrayDeque<>();
  private long nextNumber;

  /**
   * One event.
   *
   * @param number its number, with gaps
   * @param atNanos when it happened
   * @param prefix the text that is cached now
   */
  record Event(long number, long atNanos, String prefix) {}

  synchronized void add(String prefix) {
    long number = nextNumber++;
    if (number % LOST_EVERY != LOST_EVERY - 1) {
      events.addLast(new Event(number, System.nanoTime(), prefix));
    }
    if (events.size() > MAX_EVENTS) {
      events.removeFirst();
    }
  }

  /** Returns the events after a number that are old enough to be shown. */
  synchronized List<Event> after(long number) {
    List<Event> shown = new ArrayList<>();
    for (Event event : events) {
      if (event.number() > number && System.nanoTime() - event.atNanos() >= LAG_NANOS) {
        shown.add(event);
      }
    }
    return shown;
  }
}
