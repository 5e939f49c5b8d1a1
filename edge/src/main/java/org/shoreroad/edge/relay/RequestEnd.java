package org.shoreroad.edge.relay;

import java.util.Locale;

/**
 * Way in which a request ended. Each request that was received completely has exactly one end.
 *
 * @since 0.2
 */
enum RequestEnd {
  /** A complete answer of an upstream was sent to the caller. */
  ANSWERED,
  /** A refusal of this system was sent: the request is not allowed, or has not run. */
  REFUSED,
  /** An error answer of this system was sent, because an upstream failed. */
  FAILED,
  /** The deadline passed, before the answer or in the middle of it. */
  TIMED_OUT,
  /** The answer was cut in the middle, because no upstream continued it. */
  CUT,
  /** The caller closed its connection. */
  CALLER_GONE,
  /** The process ended. */
  PROCESS_ENDED;

  /** Returns the text form for counters, such as {@code timed_out}. */
  String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
