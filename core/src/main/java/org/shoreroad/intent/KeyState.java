package org.shoreroad.intent;

/**
 * The state of one key in an intent stream.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param intentId the id of the winning intent
 * @param status the status of that intent
 * @param offset the offset of the {@link IntentRecord.Type#STARTING} record
 * @since 0.1
 */
public record KeyState(String intentId, Status status, long offset) {
  /** The status of an intent. */
  public enum Status {
    /** The request may be running or may have run. */
    STARTED,
    /** The request was not run; the next intent wins. */
    WITHDRAWN,
    /** The request ran to its end. */
    FINISHED
  }

  /** Returns a copy with another status. */
  public KeyState withStatus(Status next) {
    return new KeyState(intentId, next, offset);
  }
}
