package org.shoreroad.edge.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
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
import io.netty.handler.codec.http.HttpMethod;
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
 * Connection of one caller. Answers one request at a time and limits the size and the duration of
 * the caller's input.
 *
 * <p>Pipelined requests are queued. Bad input is answered with its status, unless other answers are
 * pending, and the connection is closed, since nothing after it can be trusted. Not thread-safe:
 * used on the event loop.
 *
 * @since 0.2
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements AnswerChannel {
  /** Queued requests at which reading is paused until one of them is answered. */
  private static final int MAX_QUEUED = 16;

  /** Short: another process usually has memory. */
  private static final String MEMORY_RETRY_AFTER_SECONDS = "0.05";

  private final CallerServer server;
  private final ConnectionBytes heldHere;
  private final ArrayDeque<QueuedRequest> queue = new ArrayDeque<>();
  private @Nullable Channel channel;
  private @Nullable HttpRequest arriving;
  private long arrivingSinceNanos;
  private @Nullable CompositeByteBuf body;
  private @Nullable CallerExchange exchange;
  private boolean isAnswering;
  private boolean isAnsweringHead;
  private boolean isAnswerBegun;
  private boolean isLastAnswer;
  private boolean isRefusingInput;
  private boolean isKeptAlive = true;
  private boolean isFlushDue;
  private boolean isClosingOnceIdle;
  private long idleSinceNanos;
  private long partialHeadSinceNanos;
  private int answeringBodyBytes;

  CallerConnection(CallerServer server) {
    this.server = server;
    this.heldHere = new ConnectionBytes(server);
    this.idleSinceNanos = server.nowNanos();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
    heldHere.setChannel(context.channel());
    server.add(this);
  }

  /** Records that bytes arrived, before they are decoded. */
  void onBytes() {
    if (arriving == null && !isAnswering && partialHeadSinceNanos == 0) {
      partialHeadSinceNanos = server.nowNanos();
    }
  }

  /** Records that a part of an answer is to be sent, after it was encoded. */
  void onPartWritten(int partBytes) {
    heldHere.recordWritten(partBytes);
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
    ByteBuf piece = content.content();
    if (collected.readableBytes() + piece.readableBytes() > server.limits().maxBodyBytes()) {
      refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body_too_large");
      return;
    }
    if (piece.isReadable()) {
      if (!server.addRequestHeld(piece.readableBytes())) {
        refuseForMemory();
        return;
      }
      collected.addComponent(true, piece.retain());
    }
    if (content instanceof LastHttpContent) {
      arriving = null;
      body = null;
      CallerRequest request =
          new CallerRequest(
              head.method(), head.uri(), head.headers(), collected, arrivingSinceNanos);
      acceptRequest(new QueuedRequest(request, HttpUtil.isKeepAlive(head)));
    }
  }

  private void acceptRequest(QueuedRequest next) {
    if (!isAnswering && queue.isEmpty() && isWritable()) {
      answerNext(next);
      return;
    }
    // Requests read before the pause are still queued, so the queue may exceed the limit.
    queue.add(next);
    setReading(queue.size() < MAX_QUEUED);
  }

  private void answerNext(QueuedRequest next) {
    isAnswering = true;
    isAnsweringHead = next.request().method().equals(HttpMethod.HEAD);
    isLastAnswer = false;
    isKeptAlive = next.isKeptAlive();
    answeringBodyBytes = next.request().body().readableBytes();
    exchange = null;
    CallerExchange begun = server.factory().begin(next.request(), this);
    // A refusal is answered before the factory returns; its exchange gets no events.
    if (isAnswering) {
      exchange = begun;
    }
  }

  @Override
  public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    if (isAnswerBegun) {
      content.release();
      abort();
      throw new IllegalStateException("an answer was already begun");
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
  public void begin(HttpResponseStatus status, HttpHeaders headers, long lengthBytes) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
    if (lengthBytes == UNKNOWN_LENGTH) {
      response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
      response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    } else {
      response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, lengthBytes);
    }
    markLast(response);
    write(response);
    isAnswerBegun = true;
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
      // The parts written before must still be sent.
      channel.flush();
      channel.close();
    }
  }

  @Override
  public void addCollected(long change) {
    heldHere.addCollected(change);
  }

  @Override
  public boolean reserveBuffer(long expectedBytes) {
    return heldHere.reserve(expectedBytes);
  }

  @Override
  public double bufferFill() {
    return heldHere.bufferFill();
  }

  @Override
  public boolean isWritable() {
    return channel != null && channel.isWritable();
  }

  private void markLast(HttpResponse response) {
    isLastAnswer = server.isStopping() || !isKeptAlive || isBadInputNext();
    if (isLastAnswer) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  /** Returns true if bad input follows the request that is being answered. */
  private boolean isBadInputNext() {
    return isRefusingInput && queue.isEmpty();
  }

  /**
   * Writes a part of an answer. All parts written in one iteration of the event loop are sent with
   * one system call, such as the head with the first event, or the last event with the end.
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
    heldHere.endAnswer();
    answeringBodyBytes = 0;
    isAnswering = false;
    isAnsweringHead = false;
    isAnswerBegun = false;
    exchange = null;
    idleSinceNanos = server.nowNanos();
    // A queued request is still answered, unless this answer announced the end of the connection.
    if ((isLastAnswer || isBadInputNext()) && channel != null) {
      isRefusingInput = true;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      releaseQueue();
      return;
    }
    if (!queue.isEmpty() && channel != null) {
      // Not called directly: refusals are answered before answerNext returns, so calls would nest.
      channel.eventLoop().execute(this::answerQueued);
    }
  }

  /** Answers the next request, once the caller has read most of the answer before it. */
  private void answerQueued() {
    QueuedRequest next = isAnswering || !isWritable() ? null : queue.poll();
    if (next != null) {
      setReading(queue.size() < MAX_QUEUED);
      answerNext(next);
    }
  }

  private void setReading(boolean isReading) {
    if (channel != null) {
      channel.config().setAutoRead(isReading);
    }
  }

  /** Refuses bytes that are no request, after the answers to the requests before them. */
  void refuseMalformed() {
    if (!isRefusingInput) {
      refuse(HttpResponseStatus.BAD_REQUEST, "malformed_request");
    }
  }

  private void refuseInput(HttpObject part, Throwable cause) {
    boolean isTooLong = cause instanceof TooLongFrameException;
    if (!isTooLong) {
      refuseMalformed();
    } else if (String.valueOf(cause.getMessage()).contains("header")) {
      refuse(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head_too_large");
    } else {
      refuse(HttpResponseStatus.REQUEST_URI_TOO_LONG, "path_too_long");
    }
  }

  /** Refuses bad input and closes the connection, after the answers before it. */
  private void refuse(HttpResponseStatus status, String reason) {
    server.countBadInput(reason);
    isRefusingInput = true;
    releaseArriving();
    if (isAnswering || !queue.isEmpty()) {
      // The answers before it must be complete; the last of them closes the connection.
      return;
    }
    answer(
        status, new DefaultHttpHeaders().set("X-Shoreroad-Reason", reason), Unpooled.EMPTY_BUFFER);
  }

  /** Refuses a request that arrives too slowly, and closes a connection that was idle too long. */
  void checkTimeouts(long nowNanos) {
    long headLimitNanos = TimeUnit.MILLISECONDS.toNanos(server.limits().headerTimeoutMs());
    long idleLimitNanos = TimeUnit.MILLISECONDS.toNanos(server.limits().idleTimeoutMs());
    if (isAnswering || channel == null || isRefusingInput) {
      return;
    }
    if (isClosingOnceIdle) {
      closeOnceIdle();
    }
    if (heldHere.pendingBytes() > 0) {
      // The caller is still reading an answer.
      idleSinceNanos = nowNanos;
    }
    if (partialHeadSinceNanos != 0 && nowNanos - partialHeadSinceNanos > headLimitNanos) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, "slow_head");
    } else if (arriving != null && nowNanos - arrivingSinceNanos > idleLimitNanos) {
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, "slow_body");
    } else if (isIdle() && nowNanos - idleSinceNanos > idleLimitNanos) {
      channel.close();
    }
  }

  /** Refuses a request that there is no memory for; another process may have some. */
  private void refuseForMemory() {
    server.held().recordRefused();
    isRefusingInput = true;
    releaseArriving();
    if (!isAnswering && queue.isEmpty()) {
      HttpHeaders headers = new DefaultHttpHeaders().set("X-Shoreroad-Reason", "memory_full");
      headers.set(HttpHeaderNames.RETRY_AFTER, MEMORY_RETRY_AFTER_SECONDS);
      answer(HttpResponseStatus.SERVICE_UNAVAILABLE, headers, Unpooled.EMPTY_BUFFER);
    }
  }

  /** Returns what is held for the caller, and records what it has read since the last check. */
  HeldBytesRule.Holder<CallerConnection> toHolder(long nowNanos) {
    long requestBytes = answeringBodyBytes + (body == null ? 0 : body.readableBytes());
    for (QueuedRequest next : queue) {
      requestBytes += next.request().body().readableBytes();
    }
    return heldHere.toHolder(this, requestBytes, nowNanos);
  }

  /** Ends the connection of a caller that does not read, without the parts not sent yet. */
  void endUnread() {
    isRefusingInput = true;
    if (channel != null) {
      // Otherwise the kernel would still hold what the caller does not read.
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  /** Returns true while the answer to a request with the method HEAD is written. */
  boolean isAnsweringHead() {
    return isAnsweringHead;
  }

  /** Closes the connection now or at a later check, once it is idle. */
  void closeOnceIdle() {
    isClosingOnceIdle = true;
    if (isIdle()) {
      abort();
    }
  }

  /** Returns true if no request is arriving or being answered, and all answers were sent. */
  boolean isIdle() {
    return !isAnswering
        && queue.isEmpty()
        && arriving == null
        && partialHeadSinceNanos == 0
        && heldHere.pendingBytes() == 0;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (exchange != null) {
      exchange.onWritabilityChanged(context.channel().isWritable());
    }
    answerQueued();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    isRefusingInput = true;
    releaseArriving();
    releaseQueue();
    heldHere.endAnswer();
    server.remove(this);
    CallerExchange left = exchange;
    exchange = null;
    if (left != null) {
      left.onCallerGone();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // A reset by the caller; channelInactive reports it to the exchange.
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

  private void releaseQueue() {
    queue.forEach(next -> next.request().body().release());
    queue.clear();
  }

  /**
   * Queued request that waits for the answers before it.
   *
   * @param isKeptAlive false if the caller closes the connection after this request
   */
  private record QueuedRequest(CallerRequest request, boolean isKeptAlive) {}
}
