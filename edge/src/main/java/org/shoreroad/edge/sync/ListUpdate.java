package org.shoreroad.edge.sync;

import java.util.List;

/**
 * A stretch of the list of upstreams that one process has read and tells another one.
 *
 * <p>Records that changed nothing are left out. This class is immutable and thread-safe.
 *
 * @param fromOffset where the stretch begins: who has read as far misses nothing
 * @param endOffset where it ends
 * @param ageNanos how long ago the teller had proof that it missed no change
 * @param reachableNanos how long the store has answered the teller without a fault, 0 if it does
 *     not
 * @param records what changed in between, in the order of the offsets
 * @since 0.2
 */
public record ListUpdate(
    long fromOffset,
    long endOffset,
    long ageNanos,
    long reachableNanos,
    List<StoreRecord> records) {
  /** Age that stands for no proof. */
  private static final long NO_PROOF_NANOS = Long.MAX_VALUE / 4;

  /** Nothing that anybody could use. */
  public static final ListUpdate NONE =
      new ListUpdate(Long.MAX_VALUE, -1, NO_PROOF_NANOS, 0, List.of());

  /** Copies the list. */
  public ListUpdate {
    records = List.copyOf(records);
  }

  /** Returns an acknowledgement of the offset, without records and without a proof. */
  public static ListUpdate readTo(long endOffset) {
    return new ListUpdate(endOffset, endOffset, NO_PROOF_NANOS, 0, List.of());
  }

  /** Returns true if the sender has proof that it missed no change up to the end. */
  public boolean isProof() {
    return ageNanos < NO_PROOF_NANOS;
  }
}
