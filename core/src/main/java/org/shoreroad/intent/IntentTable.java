package org.shoreroad.intent;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What one intent stream says, up to one offset.
 *
 * <p>The rule: the first {@link IntentRecord.Type#STARTING} record of a key wins, until its own
 * {@link IntentRecord.Type#WITHDRAWN} record; then the next one wins. Every process that reads the
 * stream from its earliest record finds the same winner, so any number of processes may append. A
 * process may run a request only after it has met its own intent here as the winner.
 *
 * <p>Not thread-safe: one thread owns a table.
 *
 * @since 0.1
 */
public final class IntentTable {
  private final Map<String, KeyState> stateByKey = new HashMap<>();
  private final ArrayDeque<KeyAt> order = new ArrayDeque<>();
  private long appliedOffset = -1;

  private record KeyAt(long offset, String keyHash) {}

  /**
   * Applies one record.
   *
   * @param offset its offset; one that was applied already is passed over
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
        order.addLast(new KeyAt(offset, record.keyHash()));
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

  /** Notes that everything up to this offset was read, whether it held records or not. */
  public void advanceTo(long offset) {
    appliedOffset = Math.max(appliedOffset, offset);
  }

  /** Forgets the keys whose winning record lies before this offset, which the log has expired. */
  public void removeBefore(long earliestOffset) {
    while (!order.isEmpty() && order.peekFirst().offset() < earliestOffset) {
      KeyAt oldest = order.removeFirst();
      stateByKey.computeIfPresent(
          oldest.keyHash(), (k, s) -> s.offset() == oldest.offset() ? null : s);
    }
  }

  /** Returns what the stream says of the key. */
  public Optional<KeyState> find(String keyHash) {
    return Optional.ofNullable(stateByKey.get(keyHash));
  }

  /** Returns the offset up to which the stream was applied, or -1 for none. */
  public long appliedOffset() {
    return appliedOffset;
  }

  /** Returns how many keys are held. */
  public int size() {
    return stateByKey.size();
  }
}
