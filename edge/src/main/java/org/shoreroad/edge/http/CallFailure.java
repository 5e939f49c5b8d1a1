package org.shoreroad.edge.http;

import java.util.Locale;
import java.util.Objects;
import org.jspecify.annotations.Nullable;

/**
 * Failure of a call, which has no complete answer.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param reason the reason, not null
 * @param isSent true if a byte of the request may have been sent
 * @since 0.2
 */
public record CallFailure(Reason reason, boolean isSent) {
  /** Checks that the reason is not null. */
  public CallFailure {
    Objects.requireNonNull(reason, "reason");
  }

  /** Reason of a failure. */
  public enum Reason {
    /** No connection was established: refused, reset or timed out. */
    NOT_CONNECTED,
    /** The connection was refused: no process listens at the address. */
    REFUSED,
    /** The maximum number of connections to the address is in use. */
    TOO_MANY_CONNECTIONS,
    /** The connection was reset or closed before the answer was complete. */
    BROKEN,
    /** The received bytes are not a valid answer. */
    MALFORMED,
    /** More was received than an answer, or what precedes it, may have. */
    TOO_LONG,
    /** The call timed out. */
    TIMEOUT,
    /** This process has no path to the upstream, and no other process could send the request. */
    PATH_LOST,
    /** The process that sent the request for this one was lost. */
    FORWARDER_LOST,
    /** The listener withdrew the call before the request was sent. */
    WITHDRAWN;

    /** Returns the text form for counters and logs, such as {@code not_connected}. */
    public String code() {
      return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the reason with this name, or null if there is none. */
    public static @Nullable Reason find(String name) {
      for (Reason reason : values()) {
        if (reason.name().equals(name)) {
          return reason;
        }
      }
      return null;
    }
  }
}
