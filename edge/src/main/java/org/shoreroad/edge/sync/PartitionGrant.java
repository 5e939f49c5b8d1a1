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
  /**
   * Bits of the generation in a fencing number: 8 million changes among the members of one group.
   * With 20 bits for the formations of a generation, 10 bits are left for the era in the 53 bits
   * that every reader of JSON numbers keeps.
   */
  private static final int GENERATION_BITS = 23;

  /** Copies the set. */
  public PartitionGrant {
    partitions = Set.copyOf(partitions);
  }

  /**
   * Returns a number that rises with every change among the members, over eras too: a store that
   * comes back from an older copy has lower generations, and engines reject orders with a lower
   * number than one that they have seen.
   */
  public long fencingNumber() {
    return (era << GENERATION_BITS) + generation;
  }
}
