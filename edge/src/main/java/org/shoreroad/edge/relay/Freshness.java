package org.shoreroad.edge.relay;

import org.jspecify.annotations.Nullable;
import org.shoreroad.traffic.TrafficConfig;

/**
 * What operators declare, as far as this process knows, and for how long it may act on it.
 *
 * @since 0.2
 */
public interface Freshness {
  /** Returns the configuration in force, or null if none is known yet. */
  @Nullable TrafficConfig config();

  /** Returns true if a key that the configuration holds may be used now. */
  boolean mayTrustKeys();

  /**
   * Returns true if the configuration was proved to be the newest a moment ago, so that what it
   * does not hold is not known elsewhere either.
   */
  boolean isProved();

  /** Returns how long ago it was proved that no change was missed, in milliseconds. */
  long configAgeMs();

  /** Returns the number of processes believed alive, this one among them. */
  int processCount();
}
