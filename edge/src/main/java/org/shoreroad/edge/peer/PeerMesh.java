package org.shoreroad.edge.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePackException;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.http.HttpCalls;

/**
 * Heartbeats to and from the other processes: who lives, what load they have, what they know.
 *
 * <p>Each process opens a connection to each other one and only sends on it. Used on the event
 * loop.
 *
 * @since 0.2
 */
public final class PeerMesh {
  /** Between two heartbeats to one peer while there are few. */
  private static final int INTERVAL_MS = 200;

  /** From this many peers on the interval grows, so that their number does not cost more. */
  private static final int PEERS_AT_FULL_RATE = 12;

  /** A peer that was not heard for this many intervals is not counted as alive. */
  private static final int ALIVE_INTERVALS = 6;

  /** How long a peer that was alive still counts for shares of common budgets. */
  private static final long SHARE_NANOS = TimeUnit.SECONDS.toNanos(30);

  private static final int CONNECT_TIMEOUT_MS = 800;
  private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
  private static final int MAX_FRAME_BYTES = 1_048_576;
  private static final int LENGTH_BYTES = 4;

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final String self;
  private final HeartbeatSource source;
  private final Consumer<Heartbeat> listener;
  private final Map<String, Peer> peers = new HashMap<>();

  /** Creates a mesh without peers. */
  public PeerMesh(
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      String self,
      HeartbeatSource source,
      Consumer<Heartbeat> listener) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.self = self;
    this.source = source;
    this.listener = listener;
  }

  /** Makes heartbeats; the mesh fills in clock and echo. */
  public interface HeartbeatSource {
    /** Returns what to tell now. */
    Heartbeat make(String sender, long sentNanos, long echoNanos);

    /** Tells that all peers were told. */
    void onSent();
  }

  /**
   * Opens the port and begins to send.
   *
   * @return tells when the port is open, or why it can't be
   */
  public ChannelFuture start(InetSocketAddress address) {
    scheduleNext();
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(new Initializer())
        .bind(address);
  }

  /** Adds a process, by the name of its life. */
  public void add(String name, String address) {
    if (!name.equals(self) && !peers.containsKey(name)) {
      peers.put(name, new Peer(name, address));
      log.write("peer_known", "peer", name, "address", address);
    }
  }

  /** Forgets a process. */
  public void remove(String name) {
    Peer peer = peers.remove(name);
    if (peer != null && peer.channel != null) {
      peer.channel.close();
    }
  }

  /** Returns the number of processes alive, this one among them. */
  public int aliveCount() {
    long nowNanos = clockNanos.getAsLong();
    return 1 + (int) peers.values().stream().filter(peer -> peer.isAlive(nowNanos)).count();
  }

  /** Returns the names of the other processes that are alive. */
  public Set<String> aliveNames() {
    long nowNanos = clockNanos.getAsLong();
    Set<String> names = new HashSet<>();
    for (Peer peer : peers.values()) {
      if (peer.isAlive(nowNanos)) {
        names.add(peer.name);
      }
    }
    return names;
  }

  /** Returns the number of processes that common budgets are divided by. */
  public int sharingCount() {
    long nowNanos = clockNanos.getAsLong();
    long sharing =
        peers.values().stream()
            .filter(peer -> peer.heardNanos != 0 && nowNanos - peer.heardNanos < SHARE_NANOS)
            .count();
    return 1 + (int) sharing;
  }

  /** Returns the newest heartbeats of the peers that are alive, with when each was heard. */
  public Map<Heartbeat, Long> newest() {
    long nowNanos = clockNanos.getAsLong();
    Map<Heartbeat, Long> newest = new IdentityHashMap<>();
    for (Peer peer : peers.values()) {
      if (peer.last != null && peer.isAlive(nowNanos)) {
        newest.put(peer.last, peer.heardNanos);
      }
    }
    return newest;
  }

  private int intervalMs() {
    return INTERVAL_MS * Math.max(1, peers.size() / PEERS_AT_FULL_RATE);
  }

  private void scheduleNext() {
    loop.schedule(this::sendAll, intervalMs(), TimeUnit.MILLISECONDS);
  }

  private void sendAll() {
    long nowNanos = clockNanos.getAsLong();
    try {
      peers.values().forEach(peer -> peer.send(nowNanos));
      source.onSent();
    } catch (RuntimeException e) {
      log.write("task_failed", "task", "heartbeats", "why", String.valueOf(e));
    } finally {
      scheduleNext();
    }
  }

  private void receive(Heartbeat heartbeat) {
    Peer peer = peers.get(heartbeat.sender());
    if (peer != null) {
      peer.last = heartbeat;
      peer.heardNanos = clockNanos.getAsLong();
      listener.accept(heartbeat);
    }
  }

  /** One other process. */
  private final class Peer {
    private final String name;
    private final String address;
    private @Nullable Channel channel;
    private boolean isConnecting;
    private long failedNanos = Long.MIN_VALUE / 2;
    private long heardNanos;
    private @Nullable Heartbeat last;

    Peer(String name, String address) {
      this.name = name;
      this.address = address;
    }

    boolean isAlive(long nowNanos) {
      long limitNanos = TimeUnit.MILLISECONDS.toNanos((long) ALIVE_INTERVALS * intervalMs());
      return heardNanos != 0 && nowNanos - heardNanos < limitNanos;
    }

    void send(long nowNanos) {
      Channel open = channel;
      if (open != null && open.isActive()) {
        if (open.isWritable()) {
          long echo = last == null ? 0 : last.sentNanos();
          byte[] bytes = HeartbeatCodec.toBytes(source.make(self, nowNanos, echo));
          open.writeAndFlush(Unpooled.wrappedBuffer(bytes));
        }
      } else if (!isConnecting && nowNanos - failedNanos > RECONNECT_NANOS) {
        connect();
      }
    }

    private void connect() {
      isConnecting = true;
      new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
          .handler(new Initializer())
          .connect(HttpCalls.toSocketAddress(address))
          .addListener(
              (ChannelFutureListener)
                  done -> {
                    isConnecting = false;
                    if (done.isSuccess()) {
                      channel = done.channel();
                      log.write("peer_connected", "peer", name);
                      done.channel().closeFuture().addListener(closed -> lose());
                    } else {
                      failedNanos = clockNanos.getAsLong();
                    }
                  });
    }

    private void lose() {
      channel = null;
      failedNanos = clockNanos.getAsLong();
      log.write("peer_lost", "peer", name);
    }
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      channel
          .pipeline()
          .addLast(
              new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
              new LengthFieldPrepender(LENGTH_BYTES),
              new Receiver());
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) {
      byte[] bytes = new byte[frame.readableBytes()];
      frame.readBytes(bytes);
      try {
        receive(HeartbeatCodec.parse(bytes));
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
      // Told by the loss of the connection.
      context.close();
    }
  }
}
