package org.shoreroad.edge.sync;

import java.util.Set;

/**
 * The partitions that the store has assigned to this process.
 *
 * @param generation a number that rises with every change among the members
 * @param partitions the partitions held
 * @since 0.2
 */
public record PartitionGrant(long generation, Set<Integer> partitions) {
  /** Copies the set. */
  public PartitionGrant {
    partitions = Set.copyOf(partitions);
  }
}
