package org.shoreroad.daemon.owner;

import java.io.IOException;
import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * The last check before the bytes of a request leave, and the memory of whether they may have left.
 *
 * <p>The evidence for a replica and the contact of this process count until a moment of the
 * monotonic clock. The check is made after the connection stands, immediately before the first byte
 * is written, so a pause before it can't let old work out. Thread-safe.
 *
 * @since 0.1
 */
public final class DispatchGuard {
  private final long validUntilNanos;
  private volatile boolean mayHaveBeenSent;

  private DispatchGuard(long validUntilNanos) {
    this.validUntilNanos = validUntilNanos;
  }

  /** Returns a guard that lets bytes leave until this moment of the monotonic clock. */
  public static DispatchGuard of(long validUntilNanos) {
    return new DispatchGuard(validUntilNanos);
  }

  /** Returns true if bytes may have left. */
  public boolean mayHaveBeenSent() {
    return mayHaveBeenSent;
  }

  /** Lets bytes leave or not; from then on they may have left. */
  boolean tryMarkSent(long nowNanos) {
    if (validUntilNanos - nowNanos <= 0) {
      return false;
    }
    mayHaveBeenSent = true;
    return true;
  }

  /** Lets bytes leave if the time allows it, by this process's clock. */
  public boolean tryPassNow() {
    return tryMarkSent(System.nanoTime());
  }

  /** Checks the guard that a request carries. */
  public static Response intercept(Interceptor.Chain chain) throws IOException {
    DispatchGuard guard = chain.request().tag(DispatchGuard.class);
    if (guard != null && !guard.tryMarkSent(System.nanoTime())) {
      throw new IOException("the evidence ran out before the request left");
    }
    return chain.proceed(chain.request());
  }
}
