package org.shoreroad.standins;

import io.undertow.server.HttpServerExchange;
import java.util.Map;

/**
 * The weight store with a rate limit: {@code GET /weights/MODEL/VERSION} counts against the limit
 * and returns the duration of the transfer, or status 429 above the limit. Thread-safe.
 */
public final class WeightStoreServer implements AutoCloseable {
  private static final int WORKERS = 16;
  private static final int TOO_MANY = 429;

  private final StandInServer server;
  private final int maxPerSecond;
  private long windowStartNanos = System.nanoTime();
  private int requestsInWindow;

  private WeightStoreServer(int port, int maxPerSecond) {
    this.maxPerSecond = maxPerSecond;
    this.server = StandInServer.start(port, WORKERS, this::handle);
  }

  /** Starts the store, with a limit on the requests in each second. */
  public static WeightStoreServer start(int port, int maxPerSecond) {
    return new WeightStoreServer(port, maxPerSecond);
  }

  /** Returns the URL of the store. */
  public String url() {
    return "http://" + server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpServerExchange exchange) throws Exception {
    if (tryAcquire()) {
      StandInServer.sendJson(exchange, 200, Map.of("transfer_ms", 0));
    } else {
      StandInServer.sendStatus(exchange, TOO_MANY);
    }
  }

  private synchronized boolean tryAcquire() {
    long now = System.nanoTime();
    if (now - windowStartNanos >= 1_000_000_000L) {
      windowStartNanos = now;
      requestsInWindow = 0;
    }
    requestsInWindow++;
    return requestsInWindow <= maxPerSecond;
  }
}
