package org.shoreroad.daemon.owner;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Deadline check before the first byte of a request is sent, and a record of whether any byte may
 * have been sent.
 *
 * <p>The health evidence of a replica and the permission of this process to serve are valid until a
 * time of the monotonic clock. The check runs after the connection is established, immediately
 * before the first byte is written, so that a process pause before it can't send an expired
 * request. Thread-safe.
 *
 * @since 0.1
 */
public final class DispatchGuard {
  private final long validUntilNanos;
  private volatile boolean mayHaveBeenSent;

  private DispatchGuard(long validUntilNanos) {
    this.validUntilNanos = validUntilNanos;
  }

  /** Returns a guard that allows sending before this time of the monotonic clock, in ns. */
  public static DispatchGuard of(long validUntilNanos) {
    return new DispatchGuard(validUntilNanos);
  }

  /** Returns true if bytes of the request may have been sent. */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }

  /** Returns true and records that bytes may have been sent, unless the deadline has passed. */
  boolean tryMarkSent(long nowNanos) {
    if (validUntilNanos - nowNanos <= 0) {
      return false;
    }
    mayHaveBeenSent = true;
    return true;
  }

  /** Calls {@link #tryMarkSent} with the current time of the monotonic clock. */
  public boolean tryMarkSentNow() {
    return tryMarkSent(System.nanoTime());
  }

  /**
   * Checks the guard that is attached to a request, if any, and proceeds.
   *
   * @throws IOException if the deadline of the guard has passed, or if sending fails
   */
  public static Response intercept(Interceptor.Chain chain) throws IOException {
    DispatchGuard guard = chain.request().tag(DispatchGuard.class);
    if (guard != null && !guard.tryMarkSent(System.nanoTime())) {
      throw new IOException("the health evidence expired before the request was sent");
    }
    return chain.proceed(chain.request());
  }
}
