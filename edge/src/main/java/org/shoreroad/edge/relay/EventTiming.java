package org.shoreroad.edge.relay;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.traffic.Route;

/** Times at which the events of one answer were passed on to the caller. Used on the event loop. */
final class EventTiming {
  private final long arrivedNanos;
  private long firstNanos;
  private long lastNanos;
  private long longestPauseNanos;
  private boolean hasBegun;

  /**
   * Creates the timing of a request without events.
   *
   * @param arrivedNanos the time on the steady clock at which the request arrived
   */
  EventTiming(long arrivedNanos) {
    this.arrivedNanos = arrivedNanos;
  }

  /** Records that an event was passed on. */
  void recordEvent(long nowNanos) {
    if (hasBegun) {
      longestPauseNanos = Math.max(longestPauseNanos, nowNanos - lastNanos);
    } else {
      hasBegun = true;
      firstNanos = nowNanos;
    }
    lastNanos = nowNanos;
  }

  /** Returns the time from the request to its first event, in milliseconds. */
  long firstMs() {
    return TimeUnit.NANOSECONDS.toMillis(firstNanos - arrivedNanos);
  }

  /** Returns the time since the last event, or since the request if none came, in milliseconds. */
  long silentMs(long nowNanos) {
    return TimeUnit.NANOSECONDS.toMillis(nowNanos - (hasBegun ? lastNanos : arrivedNanos));
  }

  /** Returns the longest time between two events, in milliseconds. */
  long longestPauseMs() {
    return TimeUnit.NANOSECONDS.toMillis(longestPauseNanos);
  }

  /**
   * Returns the target of the route that the answer missed, {@code first_event} or {@code pause},
   * or null if it met both or has no event. If both are missed, this is {@code first_event}.
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
