package org.shoreroad.edge.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One caller's connection: one request at a time, limits on what and how slowly it may send.
 *
 * <p>Requests sent ahead wait their turn. Bad input gets its status at once, and the connection is
 * closed, since nothing after it can be trusted. Used on the event loop only.
 *
 * @since 0.2
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerChannel {
  /** With this many requests sent ahead nothing more is read until one of them is answered. */
  private static final int MAX_AHEAD = 16;

  private final CallerServer server;
  private final ArrayDeque<RequestAhead> ahead = new ArrayDeque<>();
  private @Nullable Channel channel;
  private @Nullable HttpRequest arriving;
  private long arrivingSinceNanos;
  private @Nullable CompositeByteBuf body;
  private @Nullable CallerExchange exchange;
  private boolean isAnswering;
  private boolean isMidway;
  private boolean isLastAnswer;
  private boolean isRefusingInput;
  private boolean isKept = true;
  private boolean isFlushDue;
  private long quietSinceNanos;
  private long partialHeadSinceNanos;

  CallerConnection(CallerServer server) {
    this.server = server;
    this.quietSinceNanos = server.nowNanos();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
    server.add(this);
  }

  /** Notes that bytes came, before they are understood. */
  void onBytes() {
    if (arriving == null && !isAnswering && partialHeadSinceNanos == 0) {
      partialHeadSinceNanos = server.nowNanos();
    }
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (!isRefusingInput) {
        readPart((HttpObject) message);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readPart(HttpObject part) {
    if (part.decoderResult().isFailure()) {
      refuseInput(part, part.decoderResult().cause());
      return;
    }
    if (part instanceof HttpRequest request) {
      readHead(request);
    }
    if (part instanceof HttpContent content && arriving != null && body != null) {
      readBody(content, arriving, body);
    }
  }

  private void readHead(HttpRequest request) {
    partialHeadSinceNanos = 0;
    arrivingSinceNanos = server.nowNanos();
    arriving = request;
    body = Unpooled.compositeBuffer(64);
    if (HttpUtil.getContentLength(request, 0L) > server.limits().maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
    } else if (HttpUtil.is100ContinueExpected(request) && channel != null) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void readBody(HttpContent content, HttpRequest head, CompositeByteBuf collected) {
    ByteBuf bytes = content.content();
    if (collected.readableBytes() + bytes.readableBytes() > server.limits().maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
      return;
    }
    if (bytes.isReadable()) {
      collected.addComponent(true, bytes.retain());
    }
    if (content instanceof LastHttpContent) {
      arriving = null;
      body = null;
      CallerRequest request =
          new CallerRequest(
              head.method(), head.uri(), head.headers(), collected, arrivingSinceNanos);
      takeRequest(new RequestAhead(request, HttpUtil.isKeepAlive(head)));
    }
  }

  private void takeRequest(RequestAhead next) {
    if (!isAnswering && ahead.isEmpty()) {
      answerNext(next);
      return;
    }
    // What was read before the pause is still taken, so the queue may grow beyond the limit.
    ahead.add(next);
    setReading(ahead.size() < MAX_AHEAD);
  }

  private void answerNext(RequestAhead next) {
    isAnswering = true;
    isLastAnswer = false;
    isKept = next.isKept();
    exchange = null;
    CallerExchange begun = server.factory().begin(next.request(), this);
    // A refusal is answered before the factory returns; then there is nothing to tell.
    if (isAnswering) {
      exchange = begun;
    }
  }

  @Override
  public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    if (isMidway) {
      content.release();
      abort();
      throw new IllegalStateException("a second answer in the middle of one");
    }
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, content, headers, new DefaultHttpHeaders());
    response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    markLast(response);
    write(response);
    finishAnswer();
  }

  @Override
  public void begin(HttpResponseStatus status, HttpHeaders headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
    response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    markLast(response);
    write(response);
    isMidway = true;
  }

  @Override
  public void send(ByteBuf piece) {
    write(new DefaultHttpContent(piece));
  }

  @Override
  public void end() {
    write(LastHttpContent.EMPTY_LAST_CONTENT);
    finishAnswer();
  }

  @Override
  public void abort() {
    isRefusingInput = true;
    if (channel != null) {
      // What was passed on before must still leave.
      channel.flush();
      channel.close();
    }
  }

  @Override
  public boolean isWritable() {
    return channel != null && channel.isWritable();
  }

  private void markLast(HttpResponse response) {
    isLastAnswer = server.isStopping() || !isKept || isRefusedNext();
    if (isLastAnswer) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Returns true if bad input came after the request that is being answered. */
  private boolean isRefusedNext() {
    return isRefusingInput && ahead.isEmpty();
  }

  /**
   * Writes a part of an answer; all that is written in one pass of the event loop leaves with one
   * system call, such as the head with the first event, or the last event with the end.
   */
  private void write(Object message) {
    Channel open = channel;
    if (open == null || !open.isActive()) {
      ReferenceCountUtil.release(message);
      return;
    }
    open.write(message);
    if (!isFlushDue) {
      isFlushDue = true;
      open.eventLoop().execute(this::flush);
    }
  }

  private void flush() {
    isFlushDue = false;
    if (channel != null) {
      channel.flush();
    }
  }

  private void finishAnswer() {
    isAnswering = false;
    isMidway = false;
    exchange = null;
    quietSinceNanos = server.nowNanos();
    // A request that came ahead is still answered, unless this answer said that it is the last.
    if ((isLastAnswer || isRefusedNext()) && channel != null) {
      isRefusingInput = true;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      releaseAhead();
      return;
    }
    if (!ahead.isEmpty() && channel != null) {
      // Not from here: refusals are answered before answerNext returns, one within the other.
      channel.eventLoop().execute(this::answerAhead);
    }
  }

  private void answerAhead() {
    RequestAhead next = isAnswering ? null : ahead.poll();
    if (next != null) {
      setReading(ahead.size() < MAX_AHEAD);
      answerNext(next);
    }
  }

  private void setReading(boolean isReading) {
    if (channel != null) {
      channel.config().setAutoRead(isReading);
    }
  }

  private void refuseInput(HttpObject part, Throwable cause) {
    boolean isTooLong = cause instanceof TooLongFrameException;
    if (!isTooLong) {
      refuse(HttpResponseStatus.BAD_REQUEST, "malformed_request");
    } else if (String.valueOf(cause.getMessage()).contains("header")) {
      refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large");
    } else {
      refuse(HttpResponseStatus.REQUEST_URI_TOO_LONG, "path_too_long");
    }
  }

  /** Answers bad input and closes, once the answers before it are out. */
  private void refuse(HttpResponseStatus status, String reason) {
    server.countBadInput(reason);
    isRefusingInput = true;
    releaseArriving();
    if (isAnswering || !ahead.isEmpty()) {
      // The answers before it must stay whole; the connection ends with the last of them.
      return;
    }
    answer(
        status, new DefaultHttpHeaders().set("X-Shoreroad-Reason", reason), Unpooled.EMPTY_BUFFER);
  }

  /** Closes or refuses a connection that is too slow or has rested too long. */
  void checkTimes(long nowNanos) {
    long headLimitNanos = TimeUnit.MILLISECONDS.toNanos(server.limits().headerTimeoutMs());
    long idleLimitNanos = TimeUnit.MILLISECONDS.toNanos(server.limits().idleTimeoutMs());
    if (isAnswering || channel == null || isRefusingInput) {
      return;
    }
    if (partialHeadSinceNanos != 0 && nowNanos - partialHeadSinceNanos > headLimitNanos) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, "slow_head");
    } else if (arriving != null && nowNanos - arrivingSinceNanos > idleLimitNanos) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, "slow_body");
    } else if (arriving == null
        && partialHeadSinceNanos == 0
        && nowNanos - quietSinceNanos > idleLimitNanos) {
      channel.close();
    }
  }

  /** Returns true if no request is arriving or being answered. */
  boolean isIdle() {
    return !isAnswering && ahead.isEmpty() && arriving == null && partialHeadSinceNanos == 0;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (exchange != null) {
      exchange.onWritabilityChanged(context.channel().isWritable());
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    isRefusingInput = true;
    releaseArriving();
    releaseAhead();
    server.remove(this);
    CallerExchange left = exchange;
    exchange = null;
    if (left != null) {
      left.onCallerGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // A reset by the caller: told to the exchange as the loss of its caller.
    context.close();
  }

  private void releaseArriving() {
    if (body != null) {
      body.release();
    }
    body = null;
    arriving = null;
    partialHeadSinceNanos = 0;
  }

  private void releaseAhead() {
    ahead.forEach(next -> next.request().body().release());
    ahead.clear();
  }

  /**
   * A request that waits for the answers before it.
   *
   * @param isKept false if the caller wants no request after it on the connection
   */
  private record RequestAhead(CallerRequest request, boolean isKept) {}
}
