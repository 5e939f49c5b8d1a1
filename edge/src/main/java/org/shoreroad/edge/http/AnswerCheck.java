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
    try {
      while (bytes.isReadable() && syntax.fault() == null) {
        if (connection.call() == null) {
          connection.endUnasked();
          return;
        }
        passOn(context, bytes);
      }
    } finally {
      bytes.release();
    }
  }

  /** Passes on valid bytes of one answer. */
  private void passOn(ChannelHandlerContext context, ByteBuf bytes) {
    int valid = syntax.read(bytes.nioBuffer());
    SyntaxFault fault = syntax.fault();
    if (valid > 0) {
      connection.setFollowed(syntax.isOver() && valid < bytes.readableBytes());
      HttpCall reading = connection.call();
      context.fireChannelRead(bytes.readRetainedSlice(valid));
      connection.recordReceived(reading, valid);
    }
    if (fault != null) {
      connection.failMalformed(fault);
    }
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      connection.recordServerEnd();
    }
    context.fireUserEventTriggered(event);
  }
}
