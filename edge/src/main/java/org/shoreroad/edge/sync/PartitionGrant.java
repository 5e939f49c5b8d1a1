package org.shoreroad.edge.sync;

import java.util.Set;

/**
 * The partitions that the store has assigned to this process.
 *
 * @param era the era of the store that assigned them
 * @param generation a number that increases with every membership change within an era
 * @param partitions the partitions held
 * @since 0.2
 */
public record PartitionGrant(long era, long generation, Set<Integer> partitions) {
  /**
   * Number of bits of the generation in a fencing number, for 8 million membership changes of one
   * group. With 20 bits for the formations of a generation, 10 bits are left for the era in the 53
   * bits that every JSON parser preserves.
   */
  private static final int GENERATION_BITS = 23;

  /** Copies the set. */
  public PartitionGrant {
    partitions = Set.copyOf(partitions);
  }

  /**
   * Returns a number that increases with every membership change, also from one era to the next. A
   * store restored from an older copy has lower generations, and engines reject orders with a lower
   * fencing number than one that they have seen.
   */
  public long fencingNumber() {
    return (era << GENERATION_BITS) + generation;
  }
}
