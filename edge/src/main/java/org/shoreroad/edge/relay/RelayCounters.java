package org.shoreroad.edge.relay;

/**
 * Counters and timers of requests, labelled by outcome and reason.
 *
 * @since 0.2
 */
public interface RelayCounters {
  /** Increments the counter with this name and reason. */
  void count(String name, String reason);

  /** Records a duration in nanoseconds. */
  void record(String name, long nanos);
}
