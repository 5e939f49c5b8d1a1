package org.shoreroad.edge.relay;

import java.util.Locale;

/**
 * How an attempt ended that brought nothing to pass on.
 *
 * @since 0.2
 */
enum AttemptFailure {
  /** Nothing of the request left this process. */
  NOT_SENT,
  /** The upstream answered that it did not run the request. */
  REFUSED,
  /** The upstream answered that the request failed. */
  FAILED,
  /** The connection ended before the answer was whole, as it does when an upstream crashes. */
  DISCONNECTED,
  /** The answer was out of form. */
  BROKEN,
  /** Nothing came for too long; the attempt stays open until another upstream answers. */
  STALLED;

  /** Returns the text form for counters, such as {@code not_sent}. */
  String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
