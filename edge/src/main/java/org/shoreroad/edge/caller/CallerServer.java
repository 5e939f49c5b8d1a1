package org.shoreroad.edge.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.traffic.CallerLimits;

/**
 * Server that accepts the connections of callers on one address. Not thread-safe: used on the event
 * loop.
 *
 * @since 0.2
 */
public final class CallerServer {
  private static final int MAX_INITIAL_LINE_BYTES = 8_192;
  private static final int MAX_CHUNK_BYTES = 65_536;
  private static final int BACKLOG = 1_024;
  private static final int TIMEOUT_CHECK_MS = 250;

  /** Minimum time between two checks of the held bytes for what seems not to fit. */
  private static final long RECHECK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

  /**
   * Send buffer of a connection, enough for 5 Mbit/s at a round trip of 100 ms. By default the
   * kernel holds up to some megabytes for a caller that does not read, beside the bytes that are
   * counted here. It accepts more once a third is free, so with a larger buffer, a caller behind a
   * slow link would seem to read nothing for seconds.
   */
  private static final int SEND_BUFFER_BYTES = 65_536;

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final Supplier<CallerLimits> limits;
  private final CallerExchange.Factory factory;
  private final Consumer<String> badInputCounter;
  private final HeldBytes held;
  private final Set<CallerConnection> connections = new HashSet<>();
  private BooleanSupplier acceptCheck = () -> true;
  private @Nullable Channel listening;
  private boolean isStopping;
  private boolean isCheckDue;
  private long checkedNanos;

  /** Creates a server with the bound on held bytes that follows from the memory of the process. */
  public CallerServer(
      EventLoop loop,
      LongSupplier clockNanos,
      Supplier<CallerLimits> limits,
      CallerExchange.Factory factory,
      Consumer<String> badInputCounter) {
    this(
        loop,
        clockNanos,
        limits,
        factory,
        badInputCounter,
        new HeldBytes(
            HeldBytesRule.forMemory(HeldBytes.bufferMemoryBytes()), HeldBytes.Listener.NONE));
  }

  /** Creates a server; {@link #start} opens its port. */
  public CallerServer(
      EventLoop loop,
      LongSupplier clockNanos,
      Supplier<CallerLimits> limits,
      CallerExchange.Factory factory,
      Consumer<String> badInputCounter,
      HeldBytes held) {
    this.held = held;
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.limits = limits;
    this.factory = factory;
    this.badInputCounter = badInputCounter;
  }

  /**
   * Sets the condition for accepting a new connection; others are closed before a byte is read.
   *
   * @param check true if the connection is accepted; called once for each, not null
   */
  public void setAcceptCheck(BooleanSupplier check) {
    acceptCheck = check;
  }

  /**
   * Opens the port.
   *
   * @param address the address to listen on, not null
   * @return the future of the open port, which fails if the port can't be opened
   */
  public ChannelFuture start(InetSocketAddress address) {
    ChannelFuture opening =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .childHandler(new Initializer())
            .bind(address);
    listening = opening.channel();
    loop.scheduleWithFixedDelay(
        this::checkTimeouts, TIMEOUT_CHECK_MS, TIMEOUT_CHECK_MS, TimeUnit.MILLISECONDS);
    return opening;
  }

  /** Makes each further answer the last on its connection. */
  public void disableKeepAlive() {
    isStopping = true;
  }

  /** Closes each open connection once nothing is arriving, being answered or being sent on it. */
  public void closeIdle() {
    new ArrayList<>(connections).forEach(CallerConnection::closeOnceIdle);
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Returns the number of connections with a request arriving or being answered. */
  public long busyCount() {
    return connections.stream().filter(connection -> !connection.isIdle()).count();
  }

  /** Closes the port, so that no new connection comes. */
  public void close() {
    if (listening != null) {
      listening.close();
    }
  }

  boolean isStopping() {
    return isStopping;
  }

  long nowNanos() {
    return clockNanos.getAsLong();
  }

  CallerLimits limits() {
    return limits.get();
  }

  CallerExchange.Factory factory() {
    return factory;
  }

  void countBadInput(String reason) {
    badInputCounter.accept(reason);
  }

  HeldBytes held() {
    return held;
  }

  /** Counts bytes that are held apart from the connections of callers with the others. */
  public void addHeldElsewhere(HeldBytes.Source source) {
    held.addSource(source);
  }

  /** Adds bytes that are held for a caller, and checks the bound soon if they may exceed it. */
  void addHeld(long bytes) {
    checkSoonIf(held.add(bytes));
  }

  /**
   * Adds bytes of a request, if they fit.
   *
   * @return false if they do not fit, so that the request must be refused
   */
  public boolean addRequestHeld(long bytes) {
    if (!held.hasRoomForRequest(bytes)) {
      recheckHeld();
    }
    if (!held.hasRoomForRequest(bytes)) {
      return false;
    }
    checkSoonIf(held.addRequest(bytes));
    return true;
  }

  /** Reserves memory for an answer that is still to come; returns false if it does not fit. */
  boolean reserveAnswer(long bytes) {
    if (!held.hasRoomForAnswer(bytes)) {
      recheckHeld();
    }
    if (!held.hasRoomForAnswer(bytes)) {
      return false;
    }
    held.reserve(bytes);
    return true;
  }

  /** Returns the bytes of an answer as a part of those that one answer may hold now. */
  double bufferFill(long bytes) {
    if (2 * bytes > held.maxAnswerBytes()) {
      recheckHeld();
    }
    return (double) bytes / Math.max(1, held.maxAnswerBytes());
  }

  /** Counts again what is held, as what was sent since the last check is still counted. */
  private void recheckHeld() {
    if (nowNanos() - checkedNanos >= RECHECK_NANOS) {
      checkHeld();
    }
  }

  private void checkSoonIf(boolean isCheckNeeded) {
    if (isCheckNeeded && !isCheckDue) {
      isCheckDue = true;
      loop.execute(this::checkHeld);
    }
  }

  private void checkHeld() {
    isCheckDue = false;
    checkedNanos = nowNanos();
    held.check(new ArrayList<>(connections), checkedNanos);
  }

  void add(CallerConnection connection) {
    connections.add(connection);
  }

  void remove(CallerConnection connection) {
    connections.remove(connection);
  }

  private void checkTimeouts() {
    long nowNanos = nowNanos();
    // A closed connection removes itself from the set.
    new ArrayList<>(connections).forEach(connection -> connection.checkTimeouts(nowNanos));
    checkHeld();
  }

  private final class Initializer extends ChannelInitializer<SocketChannel> {
    @Override
    protected void initChannel(SocketChannel channel) {
      if (!acceptCheck.getAsBoolean()) {
        channel.close();
        return;
      }
      CallerConnection connection = new CallerConnection(CallerServer.this);
      channel
          .pipeline()
          .addLast(
              new ByteMonitor(connection),
              new RequestCheck(connection),
              new RequestDecoder(decoderConfig()),
              new AnswerEncoder(connection::isAnsweringHead),
              connection);
    }
  }

  /** Returns the settings of the decoder, which reads only what {@link RequestCheck} passes on. */
  private HttpDecoderConfig decoderConfig() {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(MAX_INITIAL_LINE_BYTES)
        .setMaxHeaderSize(limits().maxHeaderBytes())
        .setMaxChunkSize(MAX_CHUNK_BYTES);
  }

  /** Notifies the connection of received bytes, so that a head that never ends is detected. */
  private static final class ByteMonitor extends ChannelDuplexHandler {
    private final CallerConnection connection;

    ByteMonitor(CallerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      connection.onBytes();
      context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
      connection.onPartWritten(message instanceof ByteBuf part ? part.readableBytes() : 0);
      context.write(message, promise);
    }
  }
}
