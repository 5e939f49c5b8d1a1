package org.shoreroad.edge.sync;

import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * A record of a keyed topic.
 *
 * @param position its position in the topic, not null
 * @param key its key, not null
 * @param value its value, or null if the record removes the key
 * @param isReadable false for bytes that are no record of a keyed topic; the key is then empty
 * @since 0.2
 */
public record StoreRecord(
    StorePosition position, String key, byte @Nullable [] value, boolean isReadable) {
  /** Checks the fields. */
  public StoreRecord {
    Objects.requireNonNull(position, "position");
    Objects.requireNonNull(key, "key");
  }

  /** Creates a readable record. */
  public StoreRecord(StorePosition position, String key, byte @Nullable [] value) {
    this(position, key, value, true);
  }

  /** Returns a placeholder for bytes that are no record of a keyed topic. */
  public static StoreRecord unreadable(StorePosition position) {
    return new StoreRecord(position, "", null, false);
  }

  /** Returns the same record at the same offset of another era. */
  StoreRecord withEra(long era) {
    return new StoreRecord(position.withEra(era), key, value, isReadable);
  }

  /** Returns its offset within the era of its position. */
  public long offset() {
    return position.offset();
  }
}
