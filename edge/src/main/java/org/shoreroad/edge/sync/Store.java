package org.shoreroad.edge.sync;

/**
 * The platform's store, as far as this system uses it. Callbacks come on the event loop.
 *
 * @since 0.2
 */
public interface Store {
  /** Reads records from an offset on; waits for one if there is none yet. */
  void read(Topic topic, long fromOffset, int waitMs, StoreCallback<StorePage> callback);

  /** Reads the newest record of each key, from after a key on ("" for the first page). */
  void readNewest(Topic topic, String afterKey, StoreCallback<StorePage> callback);

  /** Writes the newest record of a key. */
  void write(Topic topic, String key, byte[] value, StoreCallback<Long> callback);

  /**
   * Joins the group among whose members the partitions of work are dealt out, or stays in it.
   *
   * @param member the name of this life of the process
   * @param ttlMs the silence after which the store takes the partitions away
   * @param generation the last one heard, 0 at first
   */
  void join(String member, int ttlMs, long generation, StoreCallback<PartitionGrant> callback);

  /** Leaves the group, so that its partitions pass on at once. */
  void leave(String member, long generation);
}
