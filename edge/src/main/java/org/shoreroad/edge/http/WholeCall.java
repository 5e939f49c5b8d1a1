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
import org.jspecify.annotations.Nullable;

/**
 * A call whose answer is taken as a whole, within a time. Used on the event loop only.
 *
 * @since 0.2
 */
public final class WholeCall implements CallListener {
  private final Callback taker;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private @Nullable HttpCall call;
  private @Nullable ScheduledFuture<?> limit;
  private int status;
  private HttpHeaders headers = EmptyHttpHeaders.INSTANCE;

  private WholeCall(Callback taker) {
    this.taker = taker;
  }

  /** Takes the outcome of a call. */
  public interface Callback {
    /** Takes an answer. */
    void onAnswer(int status, HttpHeaders headers, byte[] body);

    /** Hears that there is none. */
    void onFailure(CallFailure failure);
  }

  /**
   * Sends a request.
   *
   * @param timeoutMs the time for the whole answer, in milliseconds
   */
  public static void send(
      HttpCalls calls,
      EventLoop loop,
      String address,
      FullHttpRequest request,
      int timeoutMs,
      Callback taker) {
    WholeCall whole = new WholeCall(taker);
    whole.call = calls.send(address, request, Integer.MAX_VALUE, whole);
    whole.limit = loop.schedule(whole::giveUp, timeoutMs, TimeUnit.MILLISECONDS);
  }

  private void giveUp() {
    HttpCall open = call;
    if (open != null) {
      call = null;
      boolean hasLeft = open.isSent();
      open.cancel();
      taker.onFailure(new CallFailure(CallFailure.Reason.TIMEOUT, hasLeft));
    }
  }

  @Override
  public boolean onHead(HttpResponse head) {
    status = head.status().code();
    headers = head.headers();
    return true;
  }

  @Override
  public void onContent(ByteBuf content) {
    try {
      content.readBytes(body, content.readableBytes());
    } catch (IOException e) {
      throw new IllegalStateException("an array can't fail to be written", e);
    }
  }

  @Override
  public void onEnd() {
    finish();
    taker.onAnswer(status, headers, body.toByteArray());
  }

  @Override
  public void onFailure(CallFailure failure) {
    finish();
    taker.onFailure(failure);
  }

  private void finish() {
    call = null;
    if (limit != null) {
      limit.cancel(false);
    }
  }
}
