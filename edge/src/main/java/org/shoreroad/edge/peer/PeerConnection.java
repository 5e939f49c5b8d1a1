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
 * The connection to one other process, on which this one only sends; opened when it is needed and
 * again after a loss. Used on the event loop.
 */
final class PeerConnection {
  private static final int CONNECT_TIMEOUT_MS = 800;
  private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

  /** A connection that was not sent on for this long is closed. */
  private static final long UNUSED_NANOS = TimeUnit.SECONDS.toNanos(5);

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
  private long usedNanos;

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

  /** Sends a heartbeat, or opens the connection for the next one; a full connection drops it. */
  void send(Heartbeat heartbeat, long echoNanos, long nowNanos) {
    usedNanos = nowNanos;
    Channel open = channel;
    if (open != null && open.isActive()) {
      if (open.isWritable()) {
        send(HeartbeatCodec.toBytes(heartbeat.withEcho(echoNanos)));
      }
    } else if (!isConnecting && nowNanos - lostNanos > RECONNECT_NANOS) {
      connect();
    }
  }

  /** Sends a frame if the connection stands and takes it. */
  void send(byte[] frame) {
    Channel open = channel;
    if (open != null && open.isActive() && open.isWritable()) {
      open.writeAndFlush(Unpooled.wrappedBuffer(frame));
    }
  }

  /** Returns when the connection could last not be opened. */
  long refusedNanos() {
    return refusedNanos;
  }

  void closeIfUnused(long nowNanos) {
    if (nowNanos - usedNanos > UNUSED_NANOS) {
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
                    done.channel().closeFuture().addListener(closed -> lose());
                  } else {
                    lostNanos = clockNanos.getAsLong();
                    refusedNanos = lostNanos;
                  }
                });
  }

  private void lose() {
    channel = null;
    lostNanos = clockNanos.getAsLong();
    log.write("peer_lost", "peer", name);
  }
}
