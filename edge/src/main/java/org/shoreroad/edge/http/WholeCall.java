package org.shoreroad.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;

/**
 * Call that collects its complete answer, with a timeout. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class WholeCall implements CallListener {
  /** Maximum size of a body, above that of any answer of the store. */
  private static final int MAX_BODY_BYTES = 8_388_608;

  private final Callback callback;
  private final Predicate<HttpResponse> isOfOtherRequest;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable HttpCall call;
  private @Nullable ScheduledFuture<?> timeout;
  private int status;
  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

  private WholeCall(Callback callback, Predicate<HttpResponse> isOfOtherRequest) {
    this.callback = callback;
    this.isOfOtherRequest = isOfOtherRequest;
  }

  /** Callback for the result of a call. */
  public interface Callback {
    /** Called with the complete answer. */
    void onAnswer(int status, HttpHeaders headers, byte[] body);

    /** Called if there is no complete answer. */
    void onFailure(CallFailure failure);
  }

  /**
   * Sends a request.
   *
   * @param timeoutMs the time for the complete answer, in milliseconds
   */
  public static void send(
      HttpCalls calls,
      EventLoop loop,
      String address,
      FullHttpRequest request,
      int timeoutMs,
      Callback callback) {
    send(calls, loop, address, request, timeoutMs, callback, head -> false);
  }

  /**
   * Sends a request on a connection on which answers to former requests may still arrive.
   *
   * @param timeoutMs the time for the complete answer, in milliseconds
   * @param isOfOtherRequest returns true for the head of an answer to another request, which is
   *     skipped, not null
   */
  public static void send(
      HttpCalls calls,
      EventLoop loop,
      String address,
      FullHttpRequest request,
      int timeoutMs,
      Callback callback,
      Predicate<HttpResponse> isOfOtherRequest) {
    WholeCall whole = new WholeCall(callback, isOfOtherRequest);
    whole.call = calls.send(address, request, Integer.MAX_VALUE, whole);
    whole.timeout =
        loop.schedule(
            () -> whole.abort(CallFailure.Reason.TIMEOUT), timeoutMs, TimeUnit.MILLISECONDS);
  }

  private void abort(CallFailure.Reason reason) {
    HttpCall open = call;
    if (open != null) {
      boolean isSent = open.isSent();
      finish();
      open.cancel();
      callback.onFailure(new CallFailure(reason, isSent));
    }
  }

  @Override
  public boolean onHead(HttpResponse head) {
    if (isOfOtherRequest.test(head)) {
      return false;
    }
    status = head.status().code();
    headers = head.headers();
    return true;
  }

  @Override
  public void onContent(ByteBuf content) {
    if (body.size() + content.readableBytes() > MAX_BODY_BYTES) {
      abort(CallFailure.Reason.TOO_LONG);
      return;
    }
    try {
      content.readBytes(body, content.readableBytes());
    } catch (IOException e) {
      throw new IllegalStateException("write to a memory buffer failed", e);
    }
  }

  @Override
  public void onEnd() {
    finish();
    callback.onAnswer(status, headers, body.toByteArray());
  }

  @Override
  public void onFailure(CallFailure failure) {
    finish();
    callback.onFailure(failure);
  }

  private void finish() {
    call = null;
    if (timeout != null) {
      timeout.cancel(false);
    }
  }
}
