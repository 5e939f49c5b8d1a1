package org.shoreroad.edge.relay;

import java.util.Locale;

/**
 * How a request ended that was read whole; each has exactly one end.
 *
 * @since 0.2
 */
enum RequestEnd {
  /** The caller was sent a whole answer of an upstream. */
  ANSWERED,
  /** The caller was sent a refusal of this system: the request is not allowed, or has not run. */
  REFUSED,
  /** The caller was sent a failure of this system, since an upstream failed. */
  FAILED,
  /** The time of the request was over, before its answer or in the middle of it. */
  TIMED_OUT,
  /** The answer broke off in the middle, since no upstream went on with it. */
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
