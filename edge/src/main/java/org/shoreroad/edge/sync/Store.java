package org.shoreroad.edge.sync;

/**
 * The topics of the platform's store. Callbacks run on the event loop.
 *
 * @since 0.2
 */
public interface Store {
  /** Reads records from an offset on; waits up to {@code waitMs} milliseconds for the first one. */
  void read(Topic topic, long fromOffset, int waitMs, StoreCallback<StorePage> callback);

  /** Reads the newest records of the keys after {@code afterKey}, "" for the first page. */
  void readNewest(Topic topic, String afterKey, StoreCallback<StorePage> callback);

  /** Writes the newest record of a key. */
  void write(Topic topic, String key, byte[] value, StoreCallback<StorePosition> callback);
}
