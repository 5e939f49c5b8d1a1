package org.shoreroad.edge.relay;

import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.shoreroad.quarantine.CrashSuspicion;

/**
 * Reason why an attempt brought no answer that can be forwarded.
 *
 * @since 0.2
 */
enum AttemptFailure {
  /** No byte of the request left this process. */
  NOT_SENT,
  /** The upstream answered that it did not run the request. */
  REFUSED,
  /** The upstream answered that the request failed. */
  FAILED,
  /** The connection ended before the answer was complete, as it does when an upstream crashes. */
  DISCONNECTED,
  /** The answer was malformed. */
  BROKEN,
  /** Nothing was received for too long; the attempt stays open until another upstream answers. */
  STALLED;

  /**
   * Returns how the request has left its upstream, which may be about to end or have ended, or null
   * if it did not reach it, or the upstream refused it.
   */
  CrashSuspicion.@Nullable Kind suspicion() {
    return switch (this) {
      case DISCONNECTED, BROKEN -> CrashSuspicion.Kind.BROKEN_OFF;
      case STALLED -> CrashSuspicion.Kind.UNANSWERED;
      case FAILED -> CrashSuspicion.Kind.FAILED;
      case NOT_SENT, REFUSED -> null;
    };
  }

  /** Returns the text form for counters, such as {@code not_sent}. */
  String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
