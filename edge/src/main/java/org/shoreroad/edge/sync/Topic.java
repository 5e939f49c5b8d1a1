package org.shoreroad.edge.sync;

/**
 * What the process reads from the platform's store and writes to it.
 *
 * @since 0.2
 */
public enum Topic {
  /** What operators declare; the store's owner writes it. */
  CONFIGURATION,
  /** The upstreams, as they list themselves. */
  UPSTREAMS,
  /** The processes of this system, by the name of their incarnation. */
  PROCESSES,
  /** The quarantined requests, by their fingerprints. */
  QUARANTINE
}
