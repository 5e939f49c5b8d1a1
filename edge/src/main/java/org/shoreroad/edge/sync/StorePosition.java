package org.shoreroad.edge.sync;

/**
 * A position in a topic of the platform's store.
 *
 * <p>An offset alone does not identify a record: the store may be restored from an older copy and
 * assign offsets again. Offsets of different eras show an order in one case only: a copy holds only
 * records of the former era that were written before it, so a record of a later era at a higher
 * offset was written later. This class is immutable and thread-safe.
 *
 * @param era the era of the store, {@link StoreEra#NONE} if the store sends none, {@link
 *     #UNKNOWN_ERA} if a peer of an earlier release does not send it
 * @param offset the offset, or -1 if none is known
 * @since 0.2
 */
public record StorePosition(long era, long offset) {
  /** The era of a position that was received without one. */
  public static final long UNKNOWN_ERA = -1;

  /** The position before anything was read. */
  public static final StorePosition NONE = new StorePosition(UNKNOWN_ERA, -1);

  /** Returns the position at an offset in an era. */
  public static StorePosition of(long era, long offset) {
    return new StorePosition(era, offset);
  }

  /** Returns the position at another offset of the same era. */
  public StorePosition withOffset(long newOffset) {
    return new StorePosition(era, newOffset);
  }

  /** Returns the position at the same offset of another era. */
  public StorePosition withEra(long newEra) {
    return new StorePosition(newEra, offset);
  }

  /** Returns the position right before this one. */
  public StorePosition previous() {
    return withOffset(offset - 1);
  }

  /** Returns true if both are of one era, so that their offsets can be compared. */
  public boolean isSameEra(StorePosition other) {
    return era == other.era;
  }

  /** Returns true if all records before the other position are before this one too. */
  public boolean hasReached(StorePosition other) {
    return isSameEra(other) && offset >= other.offset;
  }

  /**
   * Returns true if a record at this position was certainly written after one at the other
   * position, even if the store was restored from a copy in between.
   */
  public boolean isCertainlyAfter(StorePosition other) {
    return era >= other.era && offset > other.offset;
  }
}
