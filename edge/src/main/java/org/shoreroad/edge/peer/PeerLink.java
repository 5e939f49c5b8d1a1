package org.shoreroad.edge.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.http.HttpCalls;

/**
 * Connection to another process for requests and the replies to them, apart from the heartbeats:
 * opened on demand, closed when idle. Not thread-safe: for use on the event loop.
 *
 * @since 0.2
 */
public final class PeerLink {
  /** Maximum number of frames that wait for the connection to open. */
  static final int MAX_QUEUED = 256;

  private static final int CONNECT_TIMEOUT_MS = 500;

  /** Time after a loss in which no new connection is tried. */
  private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final String address;
  private final Listener listener;
  private final int connectTimeoutMs;
  private final Deque<byte[]> queued = new ArrayDeque<>();
  private @Nullable Channel channel;
  private boolean isConnecting;
  private boolean isClosed;
  private long lostNanos = Long.MIN_VALUE / 2;
  private long lastSentNanos;

  /**
   * Creates a closed link.
   *
   * @param address the address of the other process, as host and port, not null
   * @param listener receives the replies, not null
   */
  public PeerLink(EventLoop loop, LongSupplier clockNanos, String address, Listener listener) {
    this(loop, clockNanos, address, listener, CONNECT_TIMEOUT_MS);
  }

  /**
   * Creates a closed link.
   *
   * @param address the address of the other process, as host and port, not null
   * @param listener receives the replies, not null
   * @param connectTimeoutMs the time to open the connection, in milliseconds
   */
  public PeerLink(
      EventLoop loop,
      LongSupplier clockNanos,
      String address,
      Listener listener,
      int connectTimeoutMs) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.address = address;
    this.listener = listener;
    this.connectTimeoutMs = connectTimeoutMs;
    this.lastSentNanos = clockNanos.getAsLong();
  }

  /** Receives the frames and the loss of the connection. */
  public interface Listener {
    /** Called when the connection has opened, before queued frames are sent. */
    default void onOpen() {}

    /** Called with each frame; an exception closes the connection. */
    void onFrame(byte[] frame) throws Exception;

    /** Called when the connection was lost or could not be opened; what was sent may be lost. */
    void onLost();
  }

  /**
   * Sends a frame, after the connection has opened if need be.
   *
   * @return false if the frame is dropped, since the connection was lost just now or is too slow
   */
  public boolean send(byte[] frame) {
    Channel open = channel;
    if (open != null && open.isActive() && !open.isWritable()) {
      lastSentNanos = clockNanos.getAsLong();
      return false;
    }
    return sendReliably(frame);
  }

  /**
   * Sends a frame, after the connection has opened if need be, also if the connection is slow.
   *
   * @return false if the frame is dropped, since the connection was lost just now
   */
  public boolean sendReliably(byte[] frame) {
    long nowNanos = clockNanos.getAsLong();
    lastSentNanos = nowNanos;
    Channel open = channel;
    if (open != null && open.isActive()) {
      open.writeAndFlush(Unpooled.wrappedBuffer(frame));
      return true;
    }
    if (isClosed || queued.size() >= MAX_QUEUED || nowNanos - lostNanos < RECONNECT_NANOS) {
      return false;
    }
    queued.add(frame);
    if (!isConnecting) {
      connect();
    }
    return true;
  }

  /** Returns the bytes of frames that wait to be sent. */
  public long pendingBytes() {
    long queuedBytes = queued.stream().mapToLong(frame -> frame.length).sum();
    return queuedBytes + (channel == null ? 0 : pendingBytes(channel));
  }

  static long pendingBytes(Channel channel) {
    ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
    return pending == null ? 0 : pending.totalPendingWriteBytes();
  }

  /**
   * Closes the link for good if nothing was sent for some time; the listener isn't called.
   *
   * @return true if it is closed
   */
  public boolean closeIfIdle(long nowNanos) {
    if (nowNanos - lastSentNanos <= IDLE_TIMEOUT_NANOS) {
      return false;
    }
    close();
    return true;
  }

  /** Closes the link for good; the listener isn't called. */
  public void close() {
    isClosed = true;
    if (channel != null) {
      channel.close();
    }
  }

  private void connect() {
    isConnecting = true;
    new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel opened) {
                PeerChannels.addFraming(opened.pipeline());
                opened.pipeline().addLast(new Receiver());
              }
            })
        .connect(HttpCalls.toSocketAddress(address))
        .addListener((ChannelFutureListener) this::onConnected);
  }

  private void onConnected(ChannelFuture done) {
    isConnecting = false;
    if (!done.isSuccess()) {
      handleLoss();
      return;
    }
    if (isClosed) {
      done.channel().close();
      return;
    }
    channel = done.channel();
    listener.onOpen();
    done.channel().closeFuture().addListener(closed -> handleLoss());
    while (!queued.isEmpty()) {
      done.channel().write(Unpooled.wrappedBuffer(queued.remove()));
    }
    done.channel().flush();
  }

  private void handleLoss() {
    channel = null;
    queued.clear();
    lostNanos = clockNanos.getAsLong();
    if (!isClosed) {
      listener.onLost();
    }
  }

  private final class Receiver extends SimpleChannelInboundHandler<ByteBuf> {
    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf frame) throws Exception {
      listener.onFrame(ByteBufUtil.getBytes(frame));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
