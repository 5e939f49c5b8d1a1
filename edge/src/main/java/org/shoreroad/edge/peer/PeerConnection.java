package org.shoreroad.edge.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.http.HttpCalls;

/**
 * Connection to another process, used only to send. Opened on demand and reopened after a loss. Not
 * thread-safe: for use on the event loop.
 */
final class PeerConnection {
  private static final int CONNECT_TIMEOUT_MS = 800;
  private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** Idle timeout of a connection. */
  private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final String name;
  private final String address;
  private final ChannelHandler initializer;
  private @Nullable Channel channel;
  private boolean isConnecting;
  private long lostNanos = Long.MIN_VALUE / 2;
  private long refusedNanos = Long.MIN_VALUE / 2;
  private long lastSentNanos;

  PeerConnection(
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      String name,
      String address,
      ChannelHandler initializer) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.name = name;
    this.address = address;
    this.initializer = initializer;
  }

  /**
   * Sends a heartbeat if the connection is open and writable, and otherwise drops it. Opens a
   * closed connection for the next one.
   */
  void send(Heartbeat heartbeat, long echoNanos, long nowNanos) {
    lastSentNanos = nowNanos;
    Channel open = channel;
    if (open != null && open.isActive()) {
      if (open.isWritable()) {
        send(HeartbeatCodec.toBytes(heartbeat.withEcho(echoNanos)));
      }
    } else if (!isConnecting && nowNanos - lostNanos > RECONNECT_NANOS) {
      connect();
    }
  }

  /** Sends a frame if the connection is open and writable, and otherwise drops it. */
  void send(byte[] frame) {
    Channel open = channel;
    if (open != null && open.isActive() && open.isWritable()) {
      open.writeAndFlush(Unpooled.wrappedBuffer(frame));
    }
  }

  /** Returns the address of the process, as host and port. */
  String address() {
    return address;
  }

  /** Returns the time of the last failed attempt to open the connection. */
  long refusedNanos() {
    return refusedNanos;
  }

  void closeIfUnused(long nowNanos) {
    if (nowNanos - lastSentNanos > IDLE_TIMEOUT_NANOS) {
      close();
    }
  }

  void close() {
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
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
        .handler(initializer)
        .connect(HttpCalls.toSocketAddress(address))
        .addListener(
            (ChannelFutureListener)
                done -> {
                  isConnecting = false;
                  if (done.isSuccess()) {
                    channel = done.channel();
                    log.write("peer_connected", "peer", name);
                    done.channel().closeFuture().addListener(closed -> handleLoss());
                  } else {
                    lostNanos = clockNanos.getAsLong();
                    refusedNanos = lostNanos;
                  }
                });
  }

  private void handleLoss() {
    channel = null;
    lostNanos = clockNanos.getAsLong();
    log.write("peer_lost", "peer", name);
  }
}
