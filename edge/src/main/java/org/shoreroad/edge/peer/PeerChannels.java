package org.shoreroad.edge.peer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePackException;
import org.shoreroad.edge.EventLog;

/**
 * Initializes the channels between processes: length-prefixed frames, each with a heartbeat, a
 * notice, or content for another receiver. Not thread-safe: for use on the event loop.
 */
@Sharable
final class PeerChannels extends ChannelInitializer<SocketChannel> {
  static final int MAX_FRAME_BYTES = 1_048_576;
  private static final int LENGTH_BYTES = 4;

  private final EventLog log;
  private final Consumer<Heartbeat> heartbeats;
  private final Consumer<SuspicionNotice> notices;
  private final List<PeerFrames> others = new ArrayList<>(2);

  /**
   * Creates an initializer.
   *
   * @param heartbeats called with each heartbeat, not null
   * @param notices called with each notice, not null
   */
  PeerChannels(EventLog log, Consumer<Heartbeat> heartbeats, Consumer<SuspicionNotice> notices) {
    this.log = log;
    this.heartbeats = heartbeats;
    this.notices = notices;
  }

  /** Adds a receiver of frames that are neither heartbeats nor notices. */
  void addReceiver(PeerFrames receiver) {
    others.add(receiver);
  }

  private @Nullable PeerFrames findReceiver(byte[] frame) {
    for (PeerFrames receiver : others) {
      if (receiver.accepts(frame)) {
        return receiver;
      }
    }
    return null;
  }

  /** Adds the handlers that divide the bytes into frames. */
  static void addFraming(ChannelPipeline pipeline) {
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
        new LengthFieldPrepender(LENGTH_BYTES));
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    if (!others.isEmpty()) {
      channel.config().setOption(ChannelOption.TCP_NODELAY, true);
    }
    addFraming(channel.pipeline());
    channel.pipeline().addLast(new Receiver(new ChannelReplies(channel)));
  }

  /** Replies on a channel. */
  private static final class ChannelReplies implements PeerFrames.Replies {
    private final Channel channel;

    ChannelReplies(Channel channel) {
      this.channel = channel;
    }

    @Override
    public boolean isOpen() {
      return channel.isActive();
    }

    @Override
    public void send(byte[] frame) {
      if (channel.isActive() && channel.isWritable()) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
      }
    }

    @Override
    public void sendReliably(byte[] frame) {
      if (channel.isActive()) {
        channel.writeAndFlush(Unpooled.wrappedBuffer(frame));
      }
    }

    @Override
    public boolean isWritable() {
      return channel.isWritable();
    }

    @Override
    public long pendingBytes() {
      return PeerLink.pendingBytes(channel);
    }

    @Override
    public void onClose(Runnable listener) {
      channel.closeFuture().addListener(closed -> listener.run());
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
    private final ChannelReplies replies;

    Receiver(ChannelReplies replies) {
      this.replies = replies;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      byte[] bytes = ByteBufUtil.getBytes(frame);
      try {
        PeerFrames receiver = findReceiver(bytes);
        if (receiver != null) {
          receiver.receive(bytes, replies);
        } else if (SuspicionNotice.isNotice(bytes)) {
          notices.accept(SuspicionNotice.parse(bytes));
        } else {
          heartbeats.accept(HeartbeatCodec.parse(bytes));
        }
      } catch (IOException | MessagePackException | IllegalArgumentException e) {
        log.write(
            "peer_message_unreadable",
            "from",
            context.channel().remoteAddress(),
            "why",
            e.getMessage());
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // Not logged here: the process that opened the connection logs its loss.
      context.close();
    }
  }
}
