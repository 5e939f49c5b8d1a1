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
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.http.SyntaxFault;

/**
 * HTTP client with a pool of keep-alive connections for each address.
 *
 * <p>Never retries: a failed call is left to the code that sent it. Not thread-safe: used on the
 * event loop.
 *
 * @since 0.2
 */
public final class HttpCalls implements UpstreamCalls {
  private static final int MAX_INITIAL_LINE_BYTES = 4_096;
  private static final int MAX_HEADER_BYTES = 32_768;
  private static final int MAX_CHUNK_BYTES = 65_536;

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final int connectTimeoutMs;
  private final Map<String, AddressPool> pools = new HashMap<>();
  private ConnectListener connectListener = ConnectListener.NONE;
  private BiConsumer<String, SyntaxFault> faultListener = (address, fault) -> {};
  private long connectionsOpened;

  /**
   * Creates a client without connections.
   *
   * @param loop the event loop, not null
   * @param clockNanos the steady clock, in nanoseconds, not null
   * @param connectTimeoutMs the time to establish a connection, in milliseconds
   */
  public HttpCalls(EventLoop loop, LongSupplier clockNanos, int connectTimeoutMs) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.connectTimeoutMs = connectTimeoutMs;
  }

  /**
   * Sends a request on an idle connection or a new one.
   *
   * @param address the address as {@code host:port}, not null
   * @param request the request, released by this class, not null
   * @param maxConnections the maximum number of connections to the address
   * @param listener the listener to the progress of the call, not null
   * @return the call, which can be canceled
   */
  public HttpCall send(
      String address, FullHttpRequest request, int maxConnections, CallListener listener) {
    HttpCall call = new HttpCall(request, listener);
    pools.computeIfAbsent(address, AddressPool::new).send(call, maxConnections);
    return call;
  }

  @Override
  public HttpCall send(
      FleetBox box, FullHttpRequest request, int maxConnections, CallListener listener) {
    return send(box.address(), request, maxConnections, listener);
  }

  /** Listener to the connections that this client opens. */
  public interface ConnectListener {
    /** Ignores all connections. */
    ConnectListener NONE =
        new ConnectListener() {
          @Override
          public void onConnecting(String address) {}

          @Override
          public void onConnected(String address, boolean isSuccess) {}

          @Override
          public void onProbed(String address, boolean isSuccess) {}

          @Override
          public void onIdleEnded(String address) {}
        };

    /** Called when a connection is being opened for a call. */
    void onConnecting(String address);

    /** Called when a connection for a call was opened or could not be opened. */
    void onConnected(String address, boolean isSuccess);

    /** Called when a connection was opened or could not be opened to try the address. */
    void onProbed(String address, boolean isSuccess);

    /** Called when the other side has ended an idle connection. */
    void onIdleEnded(String address);
  }

  /**
   * Sets the listener to answers that are malformed.
   *
   * @param listener called with the address of the server and the reason, not null
   */
  public void setFaultListener(BiConsumer<String, SyntaxFault> listener) {
    faultListener = listener;
  }

  /** Sets the listener to the connections that this client opens. */
  public void setConnectListener(ConnectListener listener) {
    connectListener = listener;
  }

  /**
   * Opens a connection, which the next call to the address uses.
   *
   * @param address the address as {@code host:port}, not null
   * @param timeoutMs the time to establish it, in milliseconds
   * @param callback called with null if it was established, else with the reason, not null
   */
  public void probe(
      String address, int timeoutMs, Consumer<CallFailure.@Nullable Reason> callback) {
    pools.computeIfAbsent(address, AddressPool::new).probe(timeoutMs, callback);
  }

  /** Fails the calls to an address that wait for a connection; nothing of them was sent. */
  public void failConnecting(String address) {
    AddressPool pool = pools.get(address);
    if (pool != null) {
      pool.failConnecting();
    }
  }

  /** Closes connections that were idle for too long, and removes empty pools. */
  @Override
  public void sweep() {
    long nowNanos = clockNanos.getAsLong();
    pools.values().forEach(pool -> pool.closeExpired(nowNanos));
    pools.values().removeIf(pool -> pool.all.isEmpty());
  }

  /** Closes the idle connections to an address whose process has ended. */
  public void closeIdle(String address) {
    AddressPool pool = pools.get(address);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  /** Returns the number of connections opened since the start. */
  public long connectionsOpened() {
    return connectionsOpened;
  }

  /** Pool of the connections to one address. */
  final class AddressPool {
    private final String address;
    private final ArrayDeque<HttpConnection> idle = new ArrayDeque<>();
    private final Set<HttpConnection> all = new HashSet<>();
    private final Set<HttpCall> connectingCalls = new HashSet<>();

    AddressPool(String address) {
      this.address = address;
    }

    void send(HttpCall call, int maxConnections) {
      long nowNanos = clockNanos.getAsLong();
      // The most recently used connection is the least likely to be closing.
      for (HttpConnection pooled = idle.pollFirst(); pooled != null; pooled = idle.pollFirst()) {
        if (pooled.isUsable(nowNanos)) {
          pooled.send(call);
          return;
        }
        pooled.close();
        all.remove(pooled);
      }
      if (all.size() >= maxConnections) {
        loop.execute(() -> call.fail(CallFailure.Reason.TOO_MANY_CONNECTIONS));
        return;
      }
      connect(call);
    }

    private void connect(HttpCall call) {
      connectingCalls.add(call);
      connectListener.onConnecting(address);
      HttpConnection connection = new HttpConnection(this);
      open(connection, connectTimeoutMs)
          .addListener((ChannelFutureListener) done -> finishConnect(done, connection, call));
    }

    private ChannelFuture open(HttpConnection connection, int timeoutMs) {
      all.add(connection);
      connectionsOpened++;
      return new Bootstrap()
          .group(loop)
          .channel(NioSocketChannel.class)
          .option(ChannelOption.TCP_NODELAY, true)
          // An end by the server is then an event of its own, apart from a reset or a close.
          .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
          .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMs)
          .handler(initializer(connection))
          .connect(toSocketAddress(address));
    }

    void probe(int timeoutMs, Consumer<CallFailure.@Nullable Reason> callback) {
      HttpConnection connection = new HttpConnection(this);
      open(connection, timeoutMs)
          .addListener(
              (ChannelFutureListener)
                  done -> {
                    if (done.isSuccess()) {
                      addIdle(connection);
                    } else {
                      all.remove(connection);
                    }
                    connectListener.onProbed(address, done.isSuccess());
                    callback.accept(done.isSuccess() ? null : reasonOf(done));
                  });
    }

    void failConnecting() {
      List<HttpCall> failed = List.copyOf(connectingCalls);
      connectingCalls.clear();
      failed.forEach(call -> call.fail(CallFailure.Reason.PATH_LOST));
    }

    private void finishConnect(ChannelFuture done, HttpConnection connection, HttpCall call) {
      connectingCalls.remove(call);
      connectListener.onConnected(address, done.isSuccess());
      if (!done.isSuccess()) {
        all.remove(connection);
        call.fail(reasonOf(done));
      } else if (call.isOver()) {
        addIdle(connection);
      } else {
        connection.send(call);
      }
    }

    private static CallFailure.Reason reasonOf(ChannelFuture failed) {
      boolean isRefused =
          failed.cause() instanceof ConnectException refused
              && String.valueOf(refused.getMessage()).contains("refused");
      return isRefused ? CallFailure.Reason.REFUSED : CallFailure.Reason.NOT_CONNECTED;
    }

    void addIdle(HttpConnection connection) {
      connection.startIdle(clockNanos.getAsLong());
      idle.addFirst(connection);
    }

    /** Removes a connection; returns true if it was idle. */
    boolean remove(HttpConnection connection) {
      all.remove(connection);
      return idle.remove(connection);
    }

    void onMalformed(SyntaxFault fault) {
      faultListener.accept(address, fault);
    }

    void onIdleEnded() {
      connectListener.onIdleEnded(address);
    }

    void closeExpired(long nowNanos) {
      Iterator<HttpConnection> oldestFirst = idle.descendingIterator();
      while (oldestFirst.hasNext()) {
        HttpConnection pooled = oldestFirst.next();
        if (!pooled.isUsable(nowNanos)) {
          oldestFirst.remove();
          all.remove(pooled);
          pooled.close();
        }
      }
    }

    void closeIdle() {
      while (!idle.isEmpty()) {
        HttpConnection pooled = idle.removeFirst();
        all.remove(pooled);
        pooled.close();
      }
    }
  }

  private static ChannelInitializer<SocketChannel> initializer(HttpConnection connection) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        channel
            .pipeline()
            .addLast(connection.check(), connection.decoder(), new RequestEncoder(), connection);
      }
    };
  }

  /**
   * Returns the settings of the decoder, which reads only what {@link AnswerCheck} has passed on.
   */
  static HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
        .setMaxHeaderSize(MAX_HEADER_BYTES)
        .setMaxChunkSize(MAX_CHUNK_BYTES)
        // Equal ones are one length (RFC 9112, 6.3); others have been refused before.
        .setAllowDuplicateContentLengths(true);
  }

  /**
   * Parses a numeric {@code host:port} without a name lookup.
   *
   * @throws IllegalArgumentException if the host or the port is missing, or the port is no number
   *     from 0 to 65535
   */
  public static InetSocketAddress toSocketAddress(String address) {
    int colon = address.lastIndexOf(':');
    if (colon <= 0) {
      throw new IllegalArgumentException("no host or no port: " + address);
    }
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
