package org.shoreroad.edge.sync;

/**
 * The topics of the platform's store. Callbacks come on the event loop.
 *
 * @since 0.2
 */
public interface Store {
  /** Reads records from an offset on; waits for one if there is none yet. */
  void read(Topic topic, long fromOffset, int waitMs, StoreCallback<StorePage> callback);

  /** Reads the newest record of each key, from after a key on ("" for the first page). */
  void readNewest(Topic topic, String afterKey, StoreCallback<StorePage> callback);

  /** Writes the newest record of a key. */
  void write(Topic topic, String key, byte[] value, StoreCallback<StorePosition> callback);
}
