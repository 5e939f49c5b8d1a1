package org.shoreroad.standins;

import io.undertow.server.HttpServerExchange;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A plain service that records every call it executes. Thread-safe.
 *
 * <p>{@code POST /control/cut} makes it close the connection of the next call after executing it,
 * without an answer; {@code POST /control/refuse} makes it refuse the next call.
 */
public final class PlainServiceServer implements AutoCloseable {
  private static final int WORKERS = 64;
  private static final int UNAVAILABLE = 503;

  private final StandInServer server;
  private final List<String> executedBodies = new ArrayList<>();
  private int remainingCuts;
  private int remainingRefusals;

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

  /** Returns the bodies of the executed calls, in order of execution. */
  public synchronized List<String> executedBodies() {
    return List.copyOf(executedBodies);
  }

  /** Closes the connections of the next calls after executing them, without an answer. */
  public synchronized void cutNext(int count) {
    remainingCuts = count;
  }

  /** Refuses the next calls without executing them. */
  public synchronized void refuseNext(int count) {
    remainingRefusals = count;
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
    switch (execute(body)) {
      case "refuse" -> StandInServer.sendStatus(exchange, UNAVAILABLE);
      case "cut" -> exchange.getConnection().close();
      default -> exchange.getResponseSender().send("{\"echo\":\"" + body.length() + "\"}");
    }
  }

  private synchronized String execute(String body) {
    if (remainingRefusals > 0) {
      remainingRefusals--;
      return "refuse";
    }
    executedBodies.add(body);
    if (remainingCuts > 0) {
      remainingCuts--;
      return "cut";
    }
    return "answer";
  }
}
