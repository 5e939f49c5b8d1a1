package org.shoreroad.daemon.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.shoreroad.daemon.metrics.Metrics;

/**
 * Closes and counts a connection that this process opened, on an error or if the peer sends data.
 *
 * <p>Peers answer over their own connections. Called on the connection's event loop only.
 */
final class OutgoingHandler extends ChannelInboundHandlerAdapter {
  private final Metrics metrics;

  private OutgoingHandler(Metrics metrics) {
    this.metrics = metrics;
  }

  static OutgoingHandler of(Metrics metrics) {
    return new OutgoingHandler(metrics);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object frame) {
    ReferenceCountUtil.release(frame);
    metrics.count("shoreroad.peer.links.dropped", "reason", "unexpected_bytes");
    context.close();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    metrics.count("shoreroad.peer.links.dropped", "reason", "broken");
    context.close();
  }
}
