package org.shoreroad.edge.sync;

import org.shoreroad.edge.EventLog;

/**
 * The era of the platform's store, observed in all of its answers.
 *
 * <p>The store may come back from a copy that is some seconds old. It then lacks its last records,
 * assigns their offsets again to other ones, and raises its era by one. Used on the event loop.
 *
 * @since 0.2
 */
public final class StoreEra {
  /** Stands for the era of a store that tells none. */
  public static final long NONE = 0;

  private final EventLog log;
  private long current = NONE;

  /** Creates an instance that has observed no era. */
  public StoreEra(EventLog log) {
    this.log = log;
  }

  /**
   * Takes note of the era of an answer.
   *
   * @param era the era that the answer tells, or {@link #NONE}
   * @param call the kind of the call that was answered, for the log, not null
   */
  public void observe(long era, String call) {
    if (era > current) {
      log.write("store_era", "old", current, "new", era, "call", call);
      current = era;
    }
  }
}
