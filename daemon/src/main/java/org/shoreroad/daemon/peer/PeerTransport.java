package org.shoreroad.daemon.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.state.Node;

/**
 * The links to other processes: one TCP connection in each direction, with frames of a length and a
 * MessagePack message.
 *
 * <p>A process sends only over connections that it opened, so the messages to one peer stay in
 * order. The loss of either connection is reported as the loss of the link. Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class PeerTransport implements Service, PeerLink {
  /** The name of this service. */
  public static final String NAME = "peers";

  private static final int MAX_FRAME_BYTES = 64 * 1024 * 1024;
  private static final int LENGTH_BYTES = 4;
  private static final int MAX_UNSENT_BYTES = 16 * 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MS = 1_000;

  private final Settings settings;
  private final Metrics metrics;
  private final NioEventLoopGroup loop = new NioEventLoopGroup(1);
  private final ConcurrentHashMap<String, ChannelFuture> outgoing = new ConcurrentHashMap<>();
  private final List<PeerListener> listeners = new CopyOnWriteArrayList<>();
  private volatile Node self;
  private volatile boolean isStopping;

  /** Creates the transport; {@link #start} opens its port. */
  @Inject
  public PeerTransport(Settings settings, Metrics metrics) {
    this.settings = settings;
    this.metrics = metrics;
    this.self = new Node(settings.nodeId(), settings.peerAdvertise(), settings.zone());
  }

  @Override
  public String name() {
    return NAME;
  }

  /** Adds a listener; to be called before {@link #start}. */
  public void addListener(PeerListener listener) {
    listeners.add(listener);
  }

  /**
   * Returns this process with its address for peers, which is final once {@link #start} has
   * returned.
   */
  public Node self() {
    return self;
  }

  @Override
  public void start(Kernel kernel) {
    InetSocketAddress address = settings.peerListen();
    ChannelFuture bound =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(initializer(true, ""))
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw ShoreroadException.notRun(
          ErrorCode.INTERNAL, "--peer-listen " + address + " can't be bound: " + bound.cause());
    }
    int port = ((InetSocketAddress) bound.channel().localAddress()).getPort();
    if (settings.peerAdvertise().isEmpty()) {
      self = new Node(settings.nodeId(), address.getHostString() + ":" + port, settings.zone());
    }
  }

  @Override
  public void stop() {
    isStopping = true;
    loop.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  @Override
  public void send(Node to, PeerMessage message, Runnable onNotSent) {
    if (isStopping) {
      onNotSent.run();
      return;
    }
    ChannelFuture connecting = outgoing.computeIfAbsent(to.id(), id -> connect(to));
    if (connecting.channel().isActive() && !connecting.channel().isWritable()) {
      metrics.count("shoreroad.peer.links.dropped", "reason", "slow");
      connecting.channel().close();
      onNotSent.run();
      return;
    }
    connecting.addListener(
        (ChannelFutureListener)
            connected -> {
              if (connected.isSuccess() && connected.channel().isActive()) {
                write(connected.channel(), message);
              } else {
                outgoing.remove(to.id(), connecting);
                onNotSent.run();
              }
            });
  }

  @Override
  public void drop(String nodeId) {
    ChannelFuture connecting = outgoing.remove(nodeId);
    if (connecting != null) {
      connecting.channel().close();
    }
  }

  private ChannelFuture connect(Node to) {
    ChannelFuture connecting =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(
                ChannelOption.WRITE_BUFFER_WATER_MARK,
                new WriteBufferWaterMark(MAX_UNSENT_BYTES / 2, MAX_UNSENT_BYTES))
            .handler(initializer(false, to.id()))
            .connect(Settings.parseAddress("peer", to.peerAddress()));
    connecting.addListener(
        (ChannelFutureListener)
            connected -> {
              if (connected.isSuccess()) {
                write(connected.channel(), new PeerMessage.Hello(self, settings.peerToken()));
              }
            });
    connecting
        .channel()
        .closeFuture()
        .addListener(
            closed -> {
              outgoing.remove(to.id(), connecting);
              reportLost(to.id());
            });
    return connecting;
  }

  private static void write(Channel channel, PeerMessage message) {
    channel
        .writeAndFlush(Unpooled.wrappedBuffer(PeerCodec.toBytes(message)))
        .addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  private ChannelInitializer<SocketChannel> initializer(boolean isIncoming, String peerId) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channel
            .pipeline()
            .addLast(
                new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new LengthFieldPrepender(LENGTH_BYTES),
                isIncoming
                    ? IncomingHandler.of(settings.peerToken(), metrics, PeerTransport.this)
                    : OutgoingHandler.of(metrics));
      }
    };
  }

  /** Passes a message to the listeners. */
  void report(Node from, PeerMessage message) {
    listeners.forEach(listener -> listener.onMessage(from, message));
  }

  /** Reports the loss of a link to the listeners. */
  void reportLost(String nodeId) {
    listeners.forEach(listener -> listener.onLinkLost(nodeId));
  }
}
