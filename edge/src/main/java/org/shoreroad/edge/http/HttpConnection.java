package org.shoreroad.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One kept connection: carries one call at a time and is closed as soon as anything is out of form.
 *
 * <p>Bytes that arrive while no call is open belong to no request, so the connection is closed on
 * them. Used on the event loop only.
 *
 * @since 0.2
 */
final class HttpConnection extends ChannelInboundHandlerAdapter {
  /** The rest after which a connection is not used again unless the peer says how long it keeps. */
  private static final long DEFAULT_REST_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** How much earlier than the peer's own time a connection is given up, for the way there. */
  private static final long REST_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

  private final HttpCalls.AddressPool pool;
  private @Nullable Channel channel;
  private @Nullable HttpCall call;
  private boolean isPassingOver;
  private boolean isKept = true;
  private boolean hasHead;
  private boolean isBroken;
  private long restNanos = DEFAULT_REST_NANOS;
  private long restingSinceNanos;

  HttpConnection(HttpCalls.AddressPool pool) {
    this.pool = pool;
  }

  /** Sends the call's request, unless its listener withdraws it. */
  void send(HttpCall next) {
    call = next;
    hasHead = false;
    isPassingOver = false;
    next.setConnection(this);
    Channel open = channel;
    if (open == null || !open.isActive()) {
      finish();
      next.fail(CallFailure.Reason.NOT_CONNECTED);
      return;
    }
    if (!next.listener().onSending()) {
      call = null;
      pool.addIdle(this);
      next.fail(CallFailure.Reason.WITHDRAWN);
      return;
    }
    next.markLeft();
    open.writeAndFlush(next.request());
  }

  /** Closes the connection because its call is no longer wanted. */
  void abandon() {
    call = null;
    finish();
  }

  void setReading(boolean isReading) {
    if (channel != null) {
      channel.config().setAutoRead(isReading);
    }
  }

  void startIdle(long nowNanos) {
    restingSinceNanos = nowNanos;
  }

  boolean isUsable(long nowNanos) {
    return channel != null
        && channel.isActive()
        && nowNanos - restingSinceNanos < restNanos - REST_MARGIN_NANOS;
  }

  boolean isOpen() {
    return channel != null && channel.isActive();
  }

  void close() {
    if (channel != null) {
      channel.close();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (call == null) {
        // Nobody asked for these bytes.
        finish();
      } else if (((HttpObject) message).decoderResult().isFailure()) {
        failCall(CallFailure.Reason.MALFORMED);
      } else {
        readPart((HttpObject) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readPart(HttpObject part) {
    if (part instanceof HttpResponse head) {
      readHead(head);
    }
    if (part instanceof HttpContent content && call != null && hasHead) {
      ByteBuf bytes = content.content();
      if (bytes.isReadable() && !isPassingOver) {
        call.listener().onContent(bytes);
      }
      if (part instanceof LastHttpContent && call != null) {
        readEnd();
      }
    }
  }

  private void readHead(HttpResponse head) {
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return;
    }
    hasHead = true;
    isKept = isKept && HttpUtil.isKeepAlive(head);
    readRestTime(head);
    HttpCall current = call;
    if (current != null && !current.listener().onHead(head)) {
      // The answer is another request's: read over it, and never use the connection again.
      isPassingOver = true;
      isKept = false;
    }
  }

  private void readEnd() {
    if (isBroken) {
      // The reset came before this end was made up for an answer without a length.
      failCall(CallFailure.Reason.BROKEN);
      return;
    }
    if (isPassingOver) {
      isPassingOver = false;
      hasHead = false;
      return;
    }
    HttpCall ended = call;
    call = null;
    if (isKept && isOpen()) {
      setReading(true);
      pool.addIdle(this);
    } else {
      finish();
    }
    if (ended != null) {
      ended.end();
    }
  }

  private void readRestTime(HttpResponse head) {
    String keepAlive = head.headers().get("Keep-Alive");
    if (keepAlive == null) {
      return;
    }
    int at = keepAlive.indexOf(KEEP_ALIVE_TIMEOUT);
    if (at >= 0) {
      String digits = keepAlive.substring(at + KEEP_ALIVE_TIMEOUT.length()).split("[^0-9]", 2)[0];
      if (!digits.isEmpty() && digits.length() <= 6) {
        restNanos = TimeUnit.SECONDS.toNanos(Long.parseLong(digits));
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    failCall(CallFailure.Reason.BROKEN);
    finish();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // The cause is told to the call as BROKEN; its text adds nothing that decides.
    isBroken = true;
    failCall(CallFailure.Reason.BROKEN);
    finish();
  }

  private void failCall(CallFailure.Reason reason) {
    HttpCall failed = call;
    call = null;
    finish();
    if (failed != null) {
      failed.fail(reason);
    }
  }

  private void finish() {
    close();
    pool.remove(this);
  }
}
