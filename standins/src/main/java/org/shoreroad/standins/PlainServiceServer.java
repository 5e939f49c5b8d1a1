package org.shoreroad.standins;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A plain service that remembers every call it ran.
 *
 * <p>{@code POST /control/cut} makes it break the next connection after it ran the call; {@code
 * POST /control/refuse} makes it refuse the next call.
 */
public final class PlainServiceServer implements AutoCloseable {
  private static final int WORKERS = 64;
  private static final int UNAVAILABLE = 503;

  private final StandInServer server;
  private final List<String> executedBodies = new ArrayList<>();
  private int cuts;
  private int refusals;

  private PlainServiceServer(int port) {
    this.server = StandInServer.start(port, WORKERS, this::handle);
  }

  /** Starts the service. */
  public static PlainServiceServer start(int port) {
    return new PlainServiceServer(port);
  }

  /** Returns {@code host:port}. */
  public String address() {
    return server.address();
  }

  /** Returns the bodies of the calls that it ran, in order. */
  public synchronized List<String> executedBodies() {
    return List.copyOf(executedBodies);
  }

  /** Breaks the connection of the next calls after running them. */
  public synchronized void cutNext(int count) {
    cuts = count;
  }

  /** Refuses the next calls. */
  public synchronized void refuseNext(int count) {
    refusals = count;
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpServerExchange exchange) throws Exception {
    String path = exchange.getRequestPath();
    if (path.startsWith("/control/")) {
      if (path.endsWith("/cut")) {
        cutNext(1);
      } else {
        refuseNext(1);
      }
      StandInServer.sendStatus(exchange, 200);
      return;
    }
    String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    switch (run(body)) {
      case "refuse" -> StandInServer.sendStatus(exchange, UNAVAILABLE);
      case "cut" -> exchange.getConnection().close();
      default -> exchange.getResponseSender().send("{\"echo\":\"" + body.length() + "\"}");
    }
  }

  private synchronized String run(String body) {
    if (refusals > 0) {
      refusals--;
      return "refuse";
    }
    executedBodies.add(body);
    if (cuts > 0) {
      cuts--;
      return "cut";
    }
    return "answer";
  }
}
