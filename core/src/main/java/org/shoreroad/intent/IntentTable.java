package org.shoreroad.intent;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The state of every key after all records of one intent stream up to one offset.
 *
 * <p>The first {@link IntentRecord.Type#STARTING} record of a key wins. If that intent is {@link
 * IntentRecord.Type#WITHDRAWN}, the next STARTING record wins. Every process that reads the stream
 * from its earliest record finds the same winner, so any number of processes may append. A process
 * may run a request only after it has read its own intent back and found it to be the winner.
 *
 * <p>Not thread-safe: a table must be confined to one thread.
 *
 * @since 0.1
 */
public final class IntentTable {
  private final Map<String, KeyState> stateByKey = new HashMap<>();
  private final ArrayDeque<KeyOffset> offsets = new ArrayDeque<>();
  private long appliedOffset = -1;

  private record KeyOffset(long offset, String keyHash) {}

  /**
   * Applies one record.
   *
   * @param offset the record's offset; an offset that was applied already is ignored
   * @param record the record, not null
   */
  public void apply(long offset, IntentRecord record) {
    if (offset <= appliedOffset) {
      return;
    }
    appliedOffset = offset;
    KeyState state = stateByKey.get(record.keyHash());
    if (record.type() == IntentRecord.Type.STARTING) {
      if (state == null || state.status() == KeyState.Status.WITHDRAWN) {
        KeyState started = new KeyState(record.intentId(), KeyState.Status.STARTED, offset);
        stateByKey.put(record.keyHash(), started);
        offsets.addLast(new KeyOffset(offset, record.keyHash()));
      }
    } else if (state != null && state.intentId().equals(record.intentId())) {
      applyEnd(record, state);
    }
  }

  private void applyEnd(IntentRecord record, KeyState state) {
    if (state.status() != KeyState.Status.STARTED) {
      return;
    }
    KeyState.Status status =
        record.type() == IntentRecord.Type.FINISHED
            ? KeyState.Status.FINISHED
            : KeyState.Status.WITHDRAWN;
    stateByKey.put(record.keyHash(), state.withStatus(status));
  }

  /** Marks the stream as read up to this offset, whether or not it contained records there. */
  public void advanceTo(long offset) {
    appliedOffset = Math.max(appliedOffset, offset);
  }

  /** Removes the keys whose winning record is before the earliest offset that the log retains. */
  public void removeBefore(long earliestOffset) {
    while (!offsets.isEmpty() && offsets.peekFirst().offset() < earliestOffset) {
      KeyOffset oldest = offsets.removeFirst();
      stateByKey.computeIfPresent(
          oldest.keyHash(), (k, s) -> s.offset() == oldest.offset() ? null : s);
    }
  }

  /** Returns the state of the key, or empty if the stream holds no intent for it. */
  public Optional<KeyState> find(String keyHash) {
    return Optional.ofNullable(stateByKey.get(keyHash));
  }

  /** Returns the offset up to which the stream was applied, or -1 if nothing was. */
  public long appliedOffset() {
    return appliedOffset;
  }

  /** Returns the number of keys in the table. */
  public int size() {
    return stateByKey.size();
  }
}
