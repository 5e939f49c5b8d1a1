package org.shoreroad.edge.sync;

/**
 * The groups of the platform's store, on which leases rest. Callbacks come on the event loop.
 *
 * @since 0.2
 */
public interface LeaseStore {
  /**
   * Joins a group among whose members the partitions of work are dealt out, or stays in it.
   *
   * @param group the group's name; each has members and a generation of its own
   * @param member the name of this incarnation of the process
   * @param ttlMs the silence after which the store takes the partitions away
   * @param generation the last one heard, 0 at first
   */
  void join(
      String group,
      String member,
      int ttlMs,
      long generation,
      StoreCallback<PartitionGrant> callback);

  /** Leaves a group, so that its partitions pass on at once. */
  void leave(String group, String member, long generation);

  /** Asks which member holds partition 0 of a group; an empty text means that none does. */
  void owner(String group, StoreCallback<String> callback);
}
