package org.shoreroad.edge.sync;

import java.util.Locale;

/**
 * A topic of the platform's store that the process reads or writes.
 *
 * @since 0.2
 */
public enum Topic {
  /** The configuration that operators declare, written by the store's owner. */
  CONFIGURATION,
  /** The upstreams, each of which writes its own entry. */
  UPSTREAMS,
  /** The processes of this system, by the names of their incarnations. */
  PROCESSES,
  /** The quarantined requests, by their fingerprints. */
  QUARANTINE,
  /** The quarantined prompt parts, by service, model and id. */
  PART_QUARANTINE;

  /** Returns the text form for counters, such as {@code upstreams}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
