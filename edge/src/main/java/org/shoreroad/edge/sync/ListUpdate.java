package org.shoreroad.edge.sync;

import java.util.List;
import java.util.Objects;

/**
 * A range of the list of upstreams that one process has read and sends to another one.
 *
 * <p>Records that changed nothing are omitted. All positions are of one era. This class is
 * immutable and thread-safe.
 *
 * @param from the start of the range; a receiver that has read up to it misses nothing, not null
 * @param end the end of the range, not null
 * @param ageNanos how long ago the sender had proof that it missed no change, in nanoseconds
 * @param reachableNanos how long the store has answered the sender without a fault, in nanoseconds;
 *     0 if it does not
 * @param records the changes in the range, in the order of the offsets
 * @since 0.2
 */
public record ListUpdate(
    StorePosition from,
    StorePosition end,
    long ageNanos,
    long reachableNanos,
    List<StoreRecord> records) {
  /** Age that denotes a missing proof. */
  private static final long NO_PROOF_NANOS = Long.MAX_VALUE / 4;

  /** An update without a position, records or a proof. */
  public static final ListUpdate NONE = readTo(StorePosition.NONE);

  /** Copies the list. */
  public ListUpdate {
    Objects.requireNonNull(from, "from");
    Objects.requireNonNull(end, "end");
    records = List.copyOf(records);
  }

  /** Returns an acknowledgement of the position, without records and without a proof. */
  public static ListUpdate readTo(StorePosition end) {
    return new ListUpdate(end, end, NO_PROOF_NANOS, 0, List.of());
  }

  /** Returns the same range in another era. */
  public ListUpdate withEra(long era) {
    List<StoreRecord> moved = records.stream().map(record -> record.withEra(era)).toList();
    return new ListUpdate(from.withEra(era), end.withEra(era), ageNanos, reachableNanos, moved);
  }

  /** Returns true if the sender has proof that it missed no change up to the end. */
  public boolean hasProof() {
    return ageNanos < NO_PROOF_NANOS;
  }
}
