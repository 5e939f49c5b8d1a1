package org.shoreroad.standins;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * HTTP server for the platform's log, with an append rate limit and injected faults. Thread-safe.
 *
 * <p>{@code POST /control/fault?mode=M} with M of {@code ok}, {@code down} (refuses all calls),
 * {@code slow} (delays each call by {@code ms}), or {@code lose_answers} (the next {@code count}
 * appends take effect, but their answers are lost).
 */
public final class LogServer implements AutoCloseable {
  private static final int WORKERS = 64;
  private static final int UNAVAILABLE = 503;
  private static final int TOO_MANY = 429;
  private static final int NOT_FOUND = 404;

  private final LogStore store;
  private final StandInServer server;
  private final int maxAppendsPerSecond;
  private final AtomicInteger answersToLose = new AtomicInteger();
  private final AtomicLong appends = new AtomicLong();
  private final AtomicLong reads = new AtomicLong();
  private volatile boolean isDown;
  private volatile long delayMs;
  private long windowStartNanos = System.nanoTime();
  private int appendsInWindow;

  private LogServer(int port, int retainedRecords, int maxAppendsPerSecond) {
    this.store = new LogStore(retainedRecords);
    this.maxAppendsPerSecond = maxAppendsPerSecond;
    this.server = StandInServer.start(port, WORKERS, this::handle);
  }

  /** Starts the log, with a limit on the appends in each second. */
  public static LogServer start(int port, int retainedRecords, int maxAppendsPerSecond) {
    return new LogServer(port, retainedRecords, maxAppendsPerSecond);
  }

  /** Returns the URL of the log. */
  public String url() {
    return "http://" + server.address();
  }

  /** Returns the number of accepted appends. */
  public long appendCount() {
    return appends.get();
  }

  /** Returns the number of answered reads. */
  public long readCount() {
    return reads.get();
  }

  /** Returns the store of the streams. */
  public LogStore store() {
    return store;
  }

  /** Sets whether the log refuses all calls. */
  public void setDown(boolean down) {
    isDown = down;
  }

  /** Sets the delay of each call, in milliseconds. */
  public void setDelayMs(long ms) {
    delayMs = ms;
  }

  /** Closes the connections of the next appends after they took effect, without an answer. */
  public void loseAnswers(int count) {
    answersToLose.set(count);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpServerExchange exchange) throws Exception {
    String[] path = exchange.getRequestPath().substring(1).split("/");
    if (path[0].equals("control")) {
      control(exchange);
      return;
    }
    if (path.length != 3 || !path[0].equals("streams") || !path[2].equals("records")) {
      StandInServer.sendStatus(exchange, NOT_FOUND);
      return;
    }
    if (delayMs > 0) {
      Thread.sleep(delayMs);
    }
    if (isDown) {
      StandInServer.sendStatus(exchange, UNAVAILABLE);
    } else if (exchange.getRequestMethod().toString().equals("POST")) {
      append(exchange, path[1]);
    } else {
      read(exchange, path[1]);
    }
  }

  private void control(HttpServerExchange exchange) throws IOException {
    String mode = String.valueOf(StandInServer.parameter(exchange, "mode"));
    isDown = mode.equals("down");
    delayMs = mode.equals("slow") ? StandInServer.number(exchange, "ms", 1_000) : 0;
    if (mode.equals("lose_answers")) {
      answersToLose.set((int) StandInServer.number(exchange, "count", 1));
    }
    StandInServer.sendJson(exchange, 200, java.util.Map.of("mode", mode));
  }

  private synchronized boolean tryAcquireAppend() {
    long now = System.nanoTime();
    if (now - windowStartNanos >= 1_000_000_000L) {
      windowStartNanos = now;
      appendsInWindow = 0;
    }
    appendsInWindow++;
    return appendsInWindow <= maxAppendsPerSecond;
  }

  private void append(HttpServerExchange exchange, String stream) throws IOException {
    if (!tryAcquireAppend()) {
      StandInServer.sendStatus(exchange, TOO_MANY);
      return;
    }
    List<byte[]> records = new ArrayList<>();
    try (MessageUnpacker in =
        MessagePack.newDefaultUnpacker(exchange.getInputStream().readAllBytes())) {
      for (int count = in.unpackArrayHeader(); count > 0; count--) {
        records.add(in.readPayload(in.unpackBinaryHeader()));
      }
    }
    long first = store.append(stream, records);
    appends.incrementAndGet();
    if (answersToLose.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
      exchange.getConnection().close();
      return;
    }
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packLong(first);
      exchange.getResponseSender().send(ByteBuffer.wrap(out.toByteArray()));
    }
  }

  private void read(HttpServerExchange exchange, String stream)
      throws IOException, InterruptedException {
    LogStore.Batch batch =
        store.read(
            stream,
            StandInServer.number(exchange, "from", 1),
            (int) StandInServer.number(exchange, "max", 100),
            StandInServer.number(exchange, "wait_ms", 0));
    if (isDown) {
      StandInServer.sendStatus(exchange, UNAVAILABLE);
      return;
    }
    reads.incrementAndGet();
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packLong(batch.earliest()).packLong(batch.head());
      out.packArrayHeader(batch.entries().size());
      for (LogStore.Entry entry : batch.entries()) {
        out.packLong(entry.offset());
        out.packBinaryHeader(entry.bytes().length).writePayload(entry.bytes());
      }
      exchange.getResponseSender().send(ByteBuffer.wrap(out.toByteArray()));
    }
  }
}
