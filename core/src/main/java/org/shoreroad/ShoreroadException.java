package org.shoreroad;

import java.util.Objects;

/**
 * A refusal or failure with its code, its verdict and the time after which to come back.
 *
 * <p>Instances are immutable but for the stack trace.
 *
 * @since 0.1
 */
public final class ShoreroadException extends RuntimeException {
  private final ErrorCode code;
  private final Verdict verdict;
  private final long retryAfterMs;

  private ShoreroadException(ErrorCode code, Verdict verdict, String message, long retryAfterMs) {
    super(Objects.requireNonNull(message, "message"));
    this.code = Objects.requireNonNull(code, "code");
    this.verdict = Objects.requireNonNull(verdict, "verdict");
    this.retryAfterMs = retryAfterMs;
  }

  /**
   * Returns an exception for a request that was not run and that a repeat would not help.
   *
   * @param code the code, not null
   * @param message what is wrong, not null
   * @return the exception, with verdict {@link Verdict#NOT_RUN}
   */
  public static ShoreroadException notRun(ErrorCode code, String message) {
    return new ShoreroadException(code, Verdict.NOT_RUN, message, 0);
  }

  /**
   * Returns an exception for a request that was not run and may be sent again later.
   *
   * @param code the code, not null
   * @param message what is wrong, not null
   * @param retryAfterMs when to come back, in milliseconds from now, positive
   * @return the exception, with verdict {@link Verdict#NOT_RUN}
   */
  public static ShoreroadException notRun(ErrorCode code, String message, long retryAfterMs) {
    return new ShoreroadException(code, Verdict.NOT_RUN, message, retryAfterMs);
  }

  /**
   * Returns an exception with any verdict.
   *
   * @param code the code, not null
   * @param verdict the verdict, not null
   * @param message what is wrong, not null
   * @param retryAfterMs when to come back, in milliseconds, or 0 for no advice
   * @return the exception
   */
  public static ShoreroadException of(
      ErrorCode code, Verdict verdict, String message, long retryAfterMs) {
    return new ShoreroadException(code, verdict, message, retryAfterMs);
  }

  /** Returns the code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns the verdict. */
  public Verdict verdict() {
    return verdict;
  }

  /** Returns when to come back, in milliseconds, or 0 for no advice. */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
