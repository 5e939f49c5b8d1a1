package org.shoreroad.daemon.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import org.jspecify.annotations.Nullable;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.state.Node;

/**
 * Reads the messages of a connection that a peer opened.
 *
 * <p>The first message must be a hello with the right token; anything else closes the connection
 * and is counted. Called on the connection's event loop only.
 */
final class IncomingHandler extends SimpleChannelInboundHandler<ByteBuf> {
  private final String token;
  private final Metrics metrics;
  private final PeerTransport transport;
  private @Nullable Node peer;

  private IncomingHandler(String token, Metrics metrics, PeerTransport transport) {
    this.token = token;
    this.metrics = metrics;
    this.transport = transport;
  }

  static IncomingHandler of(String token, Metrics metrics, PeerTransport transport) {
    return new IncomingHandler(token, metrics, transport);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
    PeerMessage message;
    try {
      message = PeerCodec.fromBytes(ByteBufUtil.getBytes(frame));
    } catch (IllegalArgumentException e) {
      refuse(context, "malformed");
      return;
    }
    Node identified = peer;
    if (identified != null) {
      transport.report(identified, message);
    } else if (message instanceof PeerMessage.Hello hello && isToken(hello.token())) {
      peer = hello.node();
    } else {
      refuse(context, "stranger");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    Node identified = peer;
    if (identified != null) {
      transport.reportLost(identified.id());
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    refuse(context, peer == null ? "stranger" : "broken");
  }

  private void refuse(ChannelHandlerContext context, String reason) {
    metrics.count("shoreroad.peer.links.refused", "reason", reason);
    context.close();
  }

  private boolean isToken(String received) {
    return MessageDigest.isEqual(
        received.getBytes(StandardCharsets.UTF_8), token.getBytes(StandardCharsets.UTF_8));
  }
}
