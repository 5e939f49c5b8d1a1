package org.shoreroad.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.http.SyntaxFault;

/**
 * Keep-alive connection that carries one call at a time and is closed at any protocol violation.
 *
 * <p>Bytes that arrive without an open call belong to no request, so they close the connection. An
 * answer without a length is complete only if the server has ended the connection in order. Not
 * thread-safe: used on the event loop.
 *
 * @since 0.2
 */
final class HttpConnection extends ChannelInboundHandlerAdapter {
  /** Idle time after which a connection is not reused, unless the server announces a timeout. */
  private static final long DEFAULT_IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);

  /** Margin on the server's idle timeout, for the network latency. */
  private static final long IDLE_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Maximum number of bytes of informational heads, and of others that precede an answer. */
  private static final long MAX_BYTES_BEFORE_HEAD = 65_536;

  /** Maximum number of bytes of an answer to another request. */
  private static final long MAX_SKIPPED_BYTES = 4_194_304;

  private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

  private final HttpCalls.AddressPool pool;
  private final AnswerCheck check = new AnswerCheck(this);
  private final AnswerDecoder decoder = new AnswerDecoder(HttpCalls.decoderConfig());
  private @Nullable Channel channel;
  private @Nullable HttpCall call;
  private boolean isSkipping;
  private boolean isKeptAlive = true;
  private boolean hasHead;
  private boolean hasServerEnded;
  private boolean isFollowed;
  private long bytesBeforeHead;
  private long skippedBytes;
  private boolean isRequestWritten = true;
  private long maxIdleNanos = DEFAULT_IDLE_NANOS;
  private long idleSinceNanos;

  HttpConnection(HttpCalls.AddressPool pool) {
    this.pool = pool;
  }

  /** Sends the call's request, unless its listener withdraws it. */
  void send(HttpCall next) {
    call = next;
    hasHead = false;
    isSkipping = false;
    bytesBeforeHead = 0;
    skippedBytes = 0;
    next.setConnection(this);
    Channel open = channel;
    if (open == null || !isOpen()) {
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
    next.markSent();
    boolean isHead = next.request().method().equals(HttpMethod.HEAD);
    check.expectAnswer(isHead);
    decoder.expectAnswer(isHead);
    isRequestWritten = false;
    open.writeAndFlush(next.request()).addListener(done -> isRequestWritten = done.isSuccess());
  }

  /** Closes the connection because its call is no longer wanted. */
  void cancel() {
    call = null;
    finish();
  }

  /** Returns the handler that must precede the decoder. */
  AnswerCheck check() {
    return check;
  }

  /** Returns the decoder of the answers that the check has passed on. */
  AnswerDecoder decoder() {
    return decoder;
  }

  /** Returns the open call, or null if there is none. */
  @Nullable HttpCall call() {
    return call;
  }

  void setReading(boolean isReading) {
    if (channel != null) {
      channel.config().setAutoRead(isReading);
    }
  }

  void startIdle(long nowNanos) {
    idleSinceNanos = nowNanos;
  }

  boolean isUsable(long nowNanos) {
    return isOpen() && nowNanos - idleSinceNanos < maxIdleNanos - IDLE_MARGIN_NANOS;
  }

  private boolean isOpen() {
    return channel != null && channel.isActive() && !hasServerEnded;
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
        endUnasked();
      } else if (((HttpObject) message).decoderResult().isFailure()) {
        failMalformed(SyntaxFault.UNREADABLE);
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
      if (isSkipping) {
        skip(bytes.readableBytes());
      } else if (bytes.isReadable()) {
        call.listener().onContent(bytes);
      }
      if (part instanceof LastHttpContent && call != null) {
        readEnd();
      }
    }
  }

  private void skip(int bytes) {
    skippedBytes += bytes;
    if (skippedBytes > MAX_SKIPPED_BYTES) {
      failCall(CallFailure.Reason.TOO_LONG);
    }
  }

  /**
   * Counts bytes that were received and have not led to the head of an answer.
   *
   * @param reading the call that was open before they were decoded
   */
  void recordReceived(@Nullable HttpCall reading, int bytes) {
    if (call != null && call == reading && !hasHead) {
      bytesBeforeHead += bytes;
      if (bytesBeforeHead > MAX_BYTES_BEFORE_HEAD) {
        failCall(CallFailure.Reason.TOO_LONG);
      }
    }
  }

  private void readHead(HttpResponse head) {
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return;
    }
    hasHead = true;
    isKeptAlive = isKeptAlive && HttpUtil.isKeepAlive(head);
    readIdleTimeout(head);
    HttpCall current = call;
    if (current != null && !current.listener().onHead(head)) {
      // The answer belongs to another request: skip it, and don't reuse the connection.
      isSkipping = true;
      isKeptAlive = false;
    }
  }

  /**
   * Ends the call. A server may answer before it has read the request; the connection is then not
   * reused, since the rest would be held until the server reads it. Nor is it if more bytes follow,
   * which must not be taken for the answer to the next request.
   */
  private void readEnd() {
    if (!isOpen() && !hasServerEnded) {
      // The decoder ends an answer without a length also when the connection is reset or closed.
      failCall(CallFailure.Reason.BROKEN);
      return;
    }
    if (isSkipping) {
      isSkipping = false;
      hasHead = false;
      return;
    }
    HttpCall ended = call;
    call = null;
    if (isKeptAlive && !isFollowed && isOpen() && isRequestWritten) {
      setReading(true);
      pool.addIdle(this);
    } else {
      finish();
    }
    if (ended != null) {
      ended.end();
    }
  }

  private void readIdleTimeout(HttpResponse head) {
    String keepAlive = head.headers().get("Keep-Alive");
    if (keepAlive == null) {
      return;
    }
    int at = keepAlive.indexOf(KEEP_ALIVE_TIMEOUT);
    if (at >= 0) {
      String digits = keepAlive.substring(at + KEEP_ALIVE_TIMEOUT.length()).split("[^0-9]", 2)[0];
      if (!digits.isEmpty() && digits.length() <= 6) {
        maxIdleNanos = TimeUnit.SECONDS.toNanos(Long.parseLong(digits));
      }
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      // The decoder has passed on what it still had.
      failCall(CallFailure.Reason.BROKEN);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    failCall(CallFailure.Reason.BROKEN);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // The call fails with BROKEN; the text of the cause affects no decision.
    failCall(CallFailure.Reason.BROKEN);
  }

  /** Ends the connection after bytes that belong to no request. */
  void endUnasked() {
    finish();
  }

  /** Sets whether more bytes were received with those of an answer that ends now. */
  void setFollowed(boolean isFollowed) {
    this.isFollowed = isFollowed;
  }

  /** Records that the server has ended the connection in order. */
  void recordServerEnd() {
    hasServerEnded = true;
  }

  /** Fails the call, since the received bytes are not a valid answer. */
  void failMalformed(SyntaxFault fault) {
    if (call != null) {
      pool.onMalformed(fault);
    }
    failCall(CallFailure.Reason.MALFORMED);
  }

  private void failCall(CallFailure.Reason reason) {
    HttpCall failed = call;
    call = null;
    boolean wasIdle = finish();
    if (failed != null) {
      failed.fail(reason);
    } else if (wasIdle) {
      pool.onIdleEnded();
    }
  }

  /** Closes the connection; returns true if it was idle. */
  private boolean finish() {
    close();
    return pool.remove(this);
  }
}
