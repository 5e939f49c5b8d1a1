package org.shoreroad.edge.relay;

import org.jspecify.annotations.Nullable;
import org.shoreroad.traffic.TrafficConfig;

/**
 * The configuration that this process uses, and how recently it was proved to be the newest.
 *
 * @since 0.2
 */
public interface ConfigurationSource {
  /** Returns the configuration in force, or null if none was received yet. */
  @Nullable TrafficConfig config();

  /** Returns true if the proof is recent enough to accept the keys of the configuration. */
  boolean mayTrustKeys();

  /**
   * Returns true if the configuration was recently proved to be the newest, so that no other
   * process has an entry that it lacks.
   */
  boolean isProved();

  /** Returns the time since the last proof that no change was missed, in milliseconds. */
  long configAgeMs();

  /** Returns the number of processes that are considered alive, including this one. */
  int processCount();
}
