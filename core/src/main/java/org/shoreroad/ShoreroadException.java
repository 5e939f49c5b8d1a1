package org.shoreroad;

import java.util.Objects;

/**
 * A refusal or failure with its error code, its verdict and the time after which to retry.
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
   * Returns an exception for a request that was not run and for which a retry would not help.
   *
   * @param code the error code, not null
   * @param message the description, not null
   * @return the exception, with verdict {@link Verdict#NOT_RUN}
   */
  public static ShoreroadException notRun(ErrorCode code, String message) {
    return new ShoreroadException(code, Verdict.NOT_RUN, message, 0);
  }

  /**
   * Returns an exception for a request that was not run and may be retried later.
   *
   * @param code the error code, not null
   * @param message the description, not null
   * @param retryAfterMs the time until the retry, in milliseconds, positive
   * @return the exception, with verdict {@link Verdict#NOT_RUN}
   */
  public static ShoreroadException notRun(ErrorCode code, String message, long retryAfterMs) {
    return new ShoreroadException(code, Verdict.NOT_RUN, message, retryAfterMs);
  }

  /**
   * Returns an exception with any verdict.
   *
   * @param code the error code, not null
   * @param verdict the verdict, not null
   * @param message the description, not null
   * @param retryAfterMs the time until the retry, in milliseconds, or 0 for no advice
   * @return the exception
   */
  public static ShoreroadException of(
      ErrorCode code, Verdict verdict, String message, long retryAfterMs) {
    return new ShoreroadException(code, verdict, message, retryAfterMs);
  }

  /** Returns the error code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns the verdict. */
  public Verdict verdict() {
    return verdict;
  }

  /** Returns the time until the retry, in milliseconds, or 0 for no advice. */
  public long retryAfterMs() {
    return retryAfterMs;
  }
}
