package org.shoreroad.daemon.owner;

import java.io.IOException;
import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/**
 * Deadline check before the first byte of a request is sent, and a record of whether any byte may
 * have been sent and whether all could be written.
 *
 * <p>The health evidence of a replica and the permission of this process to serve are valid until a
 * time of the monotonic clock. The check runs after the connection is established, immediately
 * before the first byte is written, so that a process pause before it can't send an expired
 * request.
 *
 * <p>A failed write takes the reset of a connection from the socket, and the client still reads the
 * answer. An answer without a length then seems to end in order, so it is rejected. Thread-safe.
 *
 * @since 0.1
 */
public final class DispatchGuard {
  private final long validUntilNanos;
  private volatile boolean mayHaveBeenSent;
  private volatile boolean hasWriteFailed;

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

  /** Adds the checks of the guards that are attached to requests to a client. */
  public static OkHttpClient.Builder addTo(OkHttpClient.Builder client) {
    return client
        .eventListenerFactory(DispatchGuard::listenTo)
        .addNetworkInterceptor(DispatchGuard::intercept);
  }

  private static EventListener listenTo(Call call) {
    DispatchGuard guard = call.request().tag(DispatchGuard.class);
    return guard == null ? EventListener.NONE : guard.new WriteListener();
  }

  /**
   * Checks the guard that is attached to a request, if any, and proceeds.
   *
   * @throws IOException if the deadline of the guard has passed, if sending fails, or if the end of
   *     the answer can't be told from a reset
   */
  private static Response intercept(Interceptor.Chain chain) throws IOException {
    DispatchGuard guard = chain.request().tag(DispatchGuard.class);
    if (guard != null && !guard.tryMarkSent(System.nanoTime())) {
      throw new IOException("the health evidence expired before the request was sent");
    }
    Response response = chain.proceed(chain.request());
    if (guard != null && guard.hasWriteFailed && !isEndStated(response)) {
      response.close();
      throw new IOException("the connection failed while the request was written");
    }
    return response;
  }

  private static boolean isEndStated(Response response) {
    return response.body().contentLength() >= 0
        || "chunked".equalsIgnoreCase(response.header("Transfer-Encoding"));
  }

  /** Records a request that could not be written completely. */
  private final class WriteListener extends EventListener {
    @Override
    public void requestFailed(Call call, IOException cause) {
      hasWriteFailed = true;
    }
  }
}
