package org.shoreroad.edge.http;

import java.util.Objects;

/**
 * Why a call brought no whole answer.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param reason what happened, not null
 * @param isSent true if a byte of the request may have left this process
 * @since 0.2
 */
public record CallFailure(Reason reason, boolean isSent) {
  /** Checks that the reason is there. */
  public CallFailure {
    Objects.requireNonNull(reason, "reason");
  }

  /** What can go wrong with a call. */
  public enum Reason {
    /** No connection came up: refused, reset, or not in time. */
    NOT_CONNECTED,
    /** The address was refused outright: no process listens there. */
    REFUSED,
    /** The address has as many connections as it may have. */
    TOO_MANY_CONNECTIONS,
    /** The connection was reset or closed before the answer was whole. */
    BROKEN,
    /** Bytes came that form no answer. */
    MALFORMED,
    /** The time of the call ran out. */
    TIMEOUT,
    /** The listener withdrew the call before it left. */
    WITHDRAWN
  }
}
