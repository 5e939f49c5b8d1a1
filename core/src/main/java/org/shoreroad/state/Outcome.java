package org.shoreroad.state;

/**
 * The result of applying a record.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param offset the record's offset
 * @param kind whether the record took effect, and why not
 * @param message the reason it didn't take effect, or empty
 * @since 0.1
 */
public record Outcome(long offset, Kind kind, String message) {
  /** The kinds of outcome. */
  public enum Kind {
    /** The record took effect. */
    ACCEPTED,
    /** The record's base version is unknown, or its keys were changed after that version. */
    STALE_BASE,
    /** The changed configuration breaks a rule. */
    INVALID,
    /** The record contradicts an earlier record or repeats its effect. */
    CONFLICT,
    /** A record with the same id occurs earlier in the stream. */
    REPEATED
  }

  /** Returns the outcome of a record that took effect. */
  public static Outcome accepted(long offset) {
    return new Outcome(offset, Kind.ACCEPTED, "");
  }

  /** Returns true if the record took effect. */
  public boolean isAccepted() {
    return kind == Kind.ACCEPTED;
  }
}
