package org.shoreroad.edge.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import org.shoreroad.http.MessageSyntax;

/**
 * Handler before the decoder of a caller's connection, which passes on only bytes that are valid
 * requests. What the decoder would read as two requests, or as a body of another length, could
 * otherwise differ from what the caller or an intermediary before this process has sent.
 *
 * <p>Not thread-safe: used on the event loop.
 */
final class RequestCheck extends ChannelInboundHandlerAdapter {
  private final CallerConnection connection;
  private final MessageSyntax syntax = MessageSyntax.ofRequests();

  RequestCheck(CallerConnection connection) {
    this.connection = connection;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    ByteBuf bytes = (ByteBuf) message;
    while (bytes.isReadable() && syntax.fault() == null) {
      int valid = syntax.read(bytes.nioBuffer());
      if (valid == bytes.readableBytes()) {
        // Most often all bytes belong to one request, so that they need not be split.
        context.fireChannelRead(bytes);
        return;
      }
      context.fireChannelRead(bytes.readRetainedSlice(valid));
      if (syntax.fault() != null) {
        connection.refuseMalformed();
      }
    }
    bytes.release();
  }
}
