package org.shoreroad;

/**
 * Whether a request may have been run by an upstream.
 *
 * <p>Every refusal and every failure has a verdict, in messages between processes and in responses
 * to callers. {@link #NOT_RUN} is a guarantee: a process may give it only if it is certain. As soon
 * as one byte of a request may have been sent to an upstream, the verdict is {@link #MAY_HAVE_RUN},
 * and only an explicit refusal by that upstream changes it back to NOT_RUN.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.1
 */
public enum Verdict {
  /** The request was not run and won't be unless it is sent again. */
  NOT_RUN("not_run"),
  /** The request may have been run, completely or in part. */
  MAY_HAVE_RUN("may_have_run"),
  /** The request was run to its end. */
  RAN("ran");

  private final String text;

  Verdict(String text) {
    this.text = text;
  }

  /**
   * Parses the text form of a verdict.
   *
   * @param text the text form, as returned by {@link #toString()}, not null
   * @return the verdict
   * @throws IllegalArgumentException if no verdict has this text
   */
  public static Verdict parse(String text) {
    for (Verdict verdict : values()) {
      if (verdict.text.equals(text)) {
        return verdict;
      }
    }
    throw new IllegalArgumentException("unknown verdict: " + text);
  }

  /**
   * Returns true if a request with this verdict can be sent again without the risk of a second run.
   *
   * @return true only for {@link #NOT_RUN}
   */
  public boolean isSafeToRepeat() {
    return this == NOT_RUN;
  }

  /** Returns the text form, such as {@code not_run}. */
  @Override
  public String toString() {
    return text;
  }
}
