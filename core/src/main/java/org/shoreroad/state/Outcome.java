package org.shoreroad.state;

/**
 * What became of a record.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param offset the record's offset
 * @param kind whether it took effect
 * @param message why not, or an empty text
 * @since 0.1
 */
public record Outcome(long offset, Kind kind, String message) {
  /** The kinds of outcome. */
  public enum Kind {
    /** It took effect. */
    ACCEPTED,
    /** It was made on a base that others changed since. */
    STALE_BASE,
    /** It breaks a rule. */
    INVALID,
    /** It contradicts an earlier record, or says what is so already. */
    CONFLICT,
    /** The same record stands earlier in the stream. */
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
