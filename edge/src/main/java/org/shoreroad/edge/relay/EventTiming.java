package org.shoreroad.edge.relay;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.traffic.Route;

/**
 * When the events of one answer were passed on, as its caller sees them; used on the event loop.
 */
final class EventTiming {
  private final long arrivedNanos;
  private long firstNanos;
  private long lastNanos;
  private long longestPauseNanos;
  private boolean hasBegun;

  /**
   * Creates the timing of a request without events.
   *
   * @param arrivedNanos when the request arrived, on the steady clock
   */
  EventTiming(long arrivedNanos) {
    this.arrivedNanos = arrivedNanos;
  }

  /** Notes that an event was passed on. */
  void recordEvent(long nowNanos) {
    if (hasBegun) {
      longestPauseNanos = Math.max(longestPauseNanos, nowNanos - lastNanos);
    } else {
      hasBegun = true;
      firstNanos = nowNanos;
    }
    lastNanos = nowNanos;
  }

  /** Returns how long after the request its first event was passed on, in milliseconds. */
  long firstMs() {
    return TimeUnit.NANOSECONDS.toMillis(firstNanos - arrivedNanos);
  }

  /** Returns for how long nothing has been passed on, in milliseconds. */
  long silentMs(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - (hasBegun ? lastNanos : arrivedNanos));
  }

  /** Returns the longest time between two events, in milliseconds. */
  long longestPauseMs() {
    return TimeUnit.NANOSECONDS.toMillis(longestPauseNanos);
  }

  /**
   * Returns what made the answer late, {@code first_event} or {@code pause}, or null if it was in
   * time for its route.
   */
  @Nullable String lateReason(Route route) {
    if (!hasBegun) {
      return null;
    }
    if (firstMs() > route.targetLatencyMs()) {
      return "first_event";
    }
    boolean isPaused = route.targetGapMs() > 0 && longestPauseMs() > route.targetGapMs();
    return isPaused ? "pause" : null;
  }
}
