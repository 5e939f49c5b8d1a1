package org.shoreroad;

/**
 * Whether a request may have been run by an upstream.
 *
 * <p>Every refusal and every failure carries one verdict, between processes and towards callers.
 * {@link #NOT_RUN} is a promise: only a party that can know it may say it. As soon as one byte of a
 * request may have left for an upstream, only the upstream's own explicit refusal turns {@link
 * #MAY_HAVE_RUN} back into {@link #NOT_RUN}.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.1
 */
public enum Verdict {
  /** The request was not run and, unless it is sent again, never will be. */
  NOT_RUN("not_run"),
  /** The request may have been run, wholly or in part. */
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
   * @param text the text form, as {@link #toString()} gives it, not null
   * @return the verdict
   * @throws IllegalArgumentException if no verdict has this text
   */
  public static Verdict parse(String text) {
    for (Verdict verdict : values()) {
      if (verdict.text.equals(text)) {
        return verdict;
      }
    }
    throw new IllegalArgumentException("no such verdict: " + text);
  }

  /**
   * Returns true if a request with this verdict can be sent again without any risk of a second run.
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
