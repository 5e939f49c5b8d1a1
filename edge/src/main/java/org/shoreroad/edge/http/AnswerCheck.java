package org.shoreroad.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import org.shoreroad.http.MessageSyntax;
import org.shoreroad.http.SyntaxFault;

/**
 * Handler before the decoder of a connection to a server, which passes on only bytes that are valid
 * answers, and one answer at a time.
 *
 * <p>It also records the received bytes and an orderly end by the server, since the decoder passes
 * on the end of an answer before that event. Not thread-safe: used on the event loop.
 */
final class AnswerCheck extends ChannelInboundHandlerAdapter {
  private final HttpConnection connection;
  private final MessageSyntax syntax = MessageSyntax.ofAnswers();

  AnswerCheck(HttpConnection connection) {
    this.connection = connection;
  }

  /** Expects the answer to a request. */
  void expectAnswer(boolean isToHead) {
    syntax.expectAnswer(isToHead);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    while (bytes.isReadable()) {
      if (connection.call() == null) {
        connection.endUnasked();
        break;
      }
      int valid = syntax.read(bytes.nioBuffer());
      if (valid == bytes.readableBytes()) {
        // Most often all bytes belong to one answer, so that they need not be split.
        connection.setFollowed(false);
        passOn(context, bytes, valid);
        return;
      }
      connection.setFollowed(syntax.isOver());
      passOn(context, bytes.readRetainedSlice(valid), valid);
      SyntaxFault fault = syntax.fault();
      if (fault != null) {
        connection.failMalformed(fault);
        break;
      }
    }
    bytes.release();
  }

  /** Passes on valid bytes of one answer, which the decoder releases. */
  private void passOn(ChannelHandlerContext context, ByteBuf bytes, int count) {
    HttpCall reading = connection.call();
    context.fireChannelRead(bytes);
    connection.recordReceived(reading, count);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      connection.recordServerEnd();
    }
    context.fireUserEventTriggered(event);
  }
}
