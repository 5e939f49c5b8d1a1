package org.shoreroad.edge.sync;

import java.util.Set;

/**
 * The partitions that the store has assigned to this process.
 *
 * @param era the era of the store that assigned them
 * @param generation a number that rises with every change among the members, within an era
 * @param partitions the partitions held
 * @since 0.2
 */
public record PartitionGrant(long era, long generation, Set<Integer> partitions) {
  /** Copies the set. */
  public PartitionGrant {
    partitions = Set.copyOf(partitions);
  }
}
