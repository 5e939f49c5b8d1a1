package org.shoreroad.intent;

/**
 * What an intent stream says of one key.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param intentId the intent that won
 * @param status how far it came
 * @param offset the offset of the intent's record
 * @since 0.1
 */
public record KeyState(String intentId, Status status, long offset) {
  /** How far an intent came. */
  public enum Status {
    /** The request may be running, or have run. */
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
