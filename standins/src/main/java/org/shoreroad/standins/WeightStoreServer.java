package org.shoreroad.standins;

import io.undertow.server.HttpServerExchange;
import java.util.Map;

/**
 * The weight store: {@code GET /weights/MODEL/VERSION} takes a place in its rate limit and tells
 * how long the transfer takes.
 */
public final class WeightStoreServer implements AutoCloseable {
  private static final int WORKERS = 16;
  private static final int TOO_MANY = 429;

  private final StandInServer server;
  private final int maxPerSecond;
  private long secondBegunNanos = System.nanoTime();
  private int takenInSecond;

  private WeightStoreServer(int port, int maxPerSecond) {
    this.maxPerSecond = maxPerSecond;
    this.server = StandInServer.start(port, WORKERS, this::handle);
  }

  /** Starts the store. */
  public static WeightStoreServer start(int port, int maxPerSecond) {
    return new WeightStoreServer(port, maxPerSecond);
  }

  /** Returns its URL. */
  public String url() {
    return "http://" + server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpServerExchange exchange) throws Exception {
    if (tryTake()) {
      StandInServer.sendJson(exchange, 200, Map.of("transfer_ms", 0));
    } else {
      StandInServer.sendStatus(exchange, TOO_MANY);
    }
  }

  private synchronized boolean tryTake() {
    long now = System.nanoTime();
    if (now - secondBegunNanos >= 1_000_000_000L) {
      secondBegunNanos = now;
      takenInSecond = 0;
    }
    takenInSecond++;
    return takenInSecond <= maxPerSecond;
  }
}
