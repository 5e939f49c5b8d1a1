package org.shoreroad.edge.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

/**
 * Sends requests over kept connections, one pool for each address.
 *
 * <p>Nothing is ever sent twice from here: a failed call is the caller's to repeat. Used on the
 * event loop only.
 *
 * @since 0.2
 */
public final class HttpCalls {
  private static final int MAX_INITIAL_LINE_BYTES = 4_096;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 65_536;

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final int connectTimeoutMs;
  private final Map<String, AddressPool> pools = new HashMap<>();
  private long connectionsOpened;

  /**
   * Creates an empty set of pools.
   *
   * @param loop the event loop, not null
   * @param clockNanos the steady clock, in nanoseconds, not null
   * @param connectTimeoutMs how long a connection may take to come up, in milliseconds
   */
  public HttpCalls(EventLoop loop, LongSupplier clockNanos, int connectTimeoutMs) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.connectTimeoutMs = connectTimeoutMs;
  }

  /**
   * Sends a request on a kept connection or a new one.
   *
   * @param address the address as {@code host:port}, not null
   * @param request the request, released by this class, not null
   * @param maxConnections the most connections to the address at a time
   * @param listener hears how it goes, not null
   * @return the handle to end the call early
   */
  public HttpCall send(
      String address, FullHttpRequest request, int maxConnections, CallListener listener) {
    HttpCall call = new HttpCall(request, listener);
    pools.computeIfAbsent(address, AddressPool::new).send(call, maxConnections);
    return call;
  }

  /** Closes the resting connections that have rested too long, and forgets empty pools. */
  public void sweep() {
    long nowNanos = clockNanos.getAsLong();
    pools.values().forEach(pool -> pool.closeExpired(nowNanos));
    pools.values().removeIf(pool -> pool.all.isEmpty());
  }

  /** Closes the resting connections to an address whose process is gone. */
  public void forget(String address) {
    AddressPool pool = pools.get(address);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  /** Returns the number of connections opened since the start. */
  public long connectionsOpened() {
    return connectionsOpened;
  }

  /** The connections to one address. */
  final class AddressPool {
    private final String address;
    private final ArrayDeque<HttpConnection> resting = new ArrayDeque<>();
    private final Set<HttpConnection> all = new HashSet<>();

    AddressPool(String address) {
      this.address = address;
    }

    void send(HttpCall call, int maxConnections) {
      long nowNanos = clockNanos.getAsLong();
      // The connection used last is the one least likely to be closing.
      for (HttpConnection kept = resting.pollFirst(); kept != null; kept = resting.pollFirst()) {
        if (kept.isUsable(nowNanos)) {
          kept.send(call);
          return;
        }
        kept.close();
        all.remove(kept);
      }
      if (all.size() >= maxConnections) {
        loop.execute(() -> call.fail(CallFailure.Reason.TOO_MANY_CONNECTIONS));
        return;
      }
      connect(call);
    }

    private void connect(HttpCall call) {
      HttpConnection connection = new HttpConnection(this);
      all.add(connection);
      connectionsOpened++;
      ChannelFuture connecting =
          new Bootstrap()
              .group(loop)
              .channel(NioSocketChannel.class)
              .option(ChannelOption.TCP_NODELAY, true)
              .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs)
              .handler(initializer(connection))
              .connect(toSocketAddress(address));
      connecting.addListener((ChannelFutureListener) done -> finishConnect(done, connection, call));
    }

    private void finishConnect(ChannelFuture done, HttpConnection connection, HttpCall call) {
      if (!done.isSuccess()) {
        all.remove(connection);
        boolean isRefused =
            done.cause() instanceof ConnectException refused
                && String.valueOf(refused.getMessage()).contains("refused");
        call.fail(isRefused ? CallFailure.Reason.REFUSED : CallFailure.Reason.NOT_CONNECTED);
      } else if (call.isOver()) {
        addIdle(connection);
      } else {
        connection.send(call);
      }
    }

    void addIdle(HttpConnection connection) {
      connection.startIdle(clockNanos.getAsLong());
      resting.addFirst(connection);
    }

    void remove(HttpConnection connection) {
      all.remove(connection);
      resting.remove(connection);
    }

    void closeExpired(long nowNanos) {
      Iterator<HttpConnection> oldestFirst = resting.descendingIterator();
      while (oldestFirst.hasNext()) {
        HttpConnection kept = oldestFirst.next();
        if (!kept.isUsable(nowNanos)) {
          oldestFirst.remove();
          all.remove(kept);
          kept.close();
        }
      }
    }

    void closeIdle() {
      while (!resting.isEmpty()) {
        HttpConnection kept = resting.removeFirst();
        all.remove(kept);
        kept.close();
      }
    }
  }

  private static ChannelInitializer<SocketChannel> initializer(HttpConnection connection) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channel
            .pipeline()
            .addLast(
                new HttpClientCodec(
                    MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES, false),
                connection);
      }
    };
  }

  /** Parses {@code host:port} without looking a name up. */
  public static InetSocketAddress toSocketAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
