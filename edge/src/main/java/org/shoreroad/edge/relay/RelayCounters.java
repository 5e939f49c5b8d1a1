package org.shoreroad.edge.relay;

/**
 * Request counters, labelled by outcome and reason.
 *
 * @since 0.2
 */
public interface RelayCounters {
  /** Counts one of the name with a reason. */
  void count(String name, String reason);

  /** Records how long something took, in nanoseconds. */
  void record(String name, long nanos);
}
