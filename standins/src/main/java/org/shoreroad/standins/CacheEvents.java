package org.shoreroad.standins;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Prompt cache events of an engine stand-in, published late and with gaps.
 *
 * <p>Each event is published only after a lag, and every tenth is lost. Thread-safe.
 */
final class CacheEvents {
  private static final long LAG_NANOS = 300_000_000L;
  private static final int LOST_EVERY = 10;
  private static final int MAX_EVENTS = 1_000;

  private final Deque<Event> events = new ArrayDeque<>();
  private long nextNumber;

  /**
   * A prompt that was added to the cache.
   *
   * @param number the sequence number; lost events leave gaps
   * @param atNanos the time of the event, by {@link System#nanoTime}
   * @param prefix the cached text
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

  /** Returns the events after a sequence number that are older than the lag. */
  synchronized List<Event> after(long number) {
    List<Event> published = new ArrayList<>();
    for (Event event : events) {
      if (event.number() > number && System.nanoTime() - event.atNanos() >= LAG_NANOS) {
        published.add(event);
      }
    }
    return published;
  }
}
