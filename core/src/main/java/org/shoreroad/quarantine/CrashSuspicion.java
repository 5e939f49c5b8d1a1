package org.shoreroad.quarantine;

import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * A request that an upstream had, and that crashed the upstream if it proves to have ended.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param request the request, not null
 * @param parts the shared parts of its prompt if it was about to begin, or had just begun, else
 *     none
 * @param crash the crash, if the upstream has ended, not null
 * @param kind how the request left the upstream, not null
 * @since 0.2
 */
public record CrashSuspicion(
    RequestFingerprint request, Set<PromptPart> parts, Crash crash, Kind kind) {
  /** How a request left an upstream. */
  public enum Kind {
    /** The connection ended, or was closed for a violation of the protocol, without an answer. */
    BROKEN_OFF(10_000),
    /** The upstream was silent until the request was moved, timed out or was given up. */
    UNANSWERED(10_000),
    /** The answer had no stated end, so that it may have been cut short. */
    UNFRAMED(300),
    /** The answer was a failure. */
    FAILED(300);

    private final int maxDelayMs;

    Kind(int maxDelayMs) {
      this.maxDelayMs = maxDelayMs;
    }

    /** Returns the time within which the upstream ends if the request has crashed it. */
    long maxDelayNanos() {
      return TimeUnit.MILLISECONDS.toNanos(maxDelayMs);
    }

    /** Returns true if the upstream had ended its answer, as far as could be seen. */
    boolean isAnswered() {
      return this == UNFRAMED || this == FAILED;
    }
  }

  /**
   * Copies the parts. A request that was answered was over before its upstream ended, so that it
   * had not just begun.
   */
  public CrashSuspicion {
    Objects.requireNonNull(request, "request");
    Objects.requireNonNull(crash, "crash");
    Objects.requireNonNull(kind, "kind");
    parts = Set.copyOf(parts);
    crash = kind.isAnswered() ? new Crash(crash.upstream(), false) : crash;
  }
}
