package org.shoreroad.edge.sync;

/**
 * The groups of the platform's store, on which leases are based. Callbacks run on the event loop.
 *
 * @since 0.2
 */
public interface LeaseStore {
  /**
   * Joins a group whose partitions are assigned to its members, or renews the membership.
   *
   * @param group the group's name; each group has its own members and generation
   * @param member the name of this incarnation of the process
   * @param ttlMs the time without a renewal after which the membership ends, in milliseconds
   * @param generation the last known generation of the group, 0 at first
   */
  void join(
      String group,
      String member,
      int ttlMs,
      long generation,
      StoreCallback<PartitionGrant> callback);

  /** Leaves a group, so that its partitions are reassigned without a delay. */
  void leave(String group, String member, long generation);

  /** Reads the name of the member that holds partition 0 of a group, empty if there is none. */
  void owner(String group, StoreCallback<String> callback);
}
