package org.shoreroad.standins;

import io.undertow.server.HttpServerExchange;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * HTTP server for the platform's list of boxes, which publishes each change after a lag.
 * Thread-safe.
 *
 * <p>{@code POST /boxes} with one box adds or replaces it; {@code POST
 * /control/state?box=B&state=S} sets it {@code live}, {@code leaving} or {@code gone}.
 */
public final class BoxListServer implements AutoCloseable {
  private static final int WORKERS = 16;

  private final StandInServer server;
  private final long lagMs;
  private final Map<String, Map<String, String>> published = new LinkedHashMap<>();
  private final Deque<Change> changes = new ArrayDeque<>();

  private record Change(long dueNanos, Runnable task) {}

  private BoxListServer(int port, long lagMs) {
    this.lagMs = lagMs;
    this.server = StandInServer.start(port, WORKERS, this::handle);
  }

  /** Starts the server, with the lag of each change in milliseconds. */
  public static BoxListServer start(int port, long lagMs) {
    return new BoxListServer(port, lagMs);
  }

  /** Returns the URL of the server. */
  public String url() {
    return "http://" + server.address();
  }

  /** Adds or replaces a box; published after the lag. */
  public synchronized void add(String name, String address, String domain, String zone) {
    schedule(
        () ->
            published.put(
                name,
                new LinkedHashMap<>(
                    Map.of(
                        "name", name,
                        "address", address,
                        "fabric_domain", domain,
                        "availability_zone", zone,
                        "state", "live"))));
  }

  /** Sets the state of a box, or removes it if {@code gone}; published after the lag. */
  public synchronized void setState(String name, String state) {
    schedule(
        () -> {
          if (state.equals("gone")) {
            published.remove(name);
          } else if (published.containsKey(name)) {
            published.get(name).put("state", state);
          }
        });
  }

  @Override
  public void close() {
    server.close();
  }

  private void schedule(Runnable task) {
    changes.add(new Change(System.nanoTime() + lagMs * 1_000_000, task));
  }

  private synchronized List<Map<String, String>> currentList() {
    while (!changes.isEmpty() && changes.peek().dueNanos() - System.nanoTime() <= 0) {
      changes.remove().task().run();
    }
    return published.values().stream().<Map<String, String>>map(LinkedHashMap::new).toList();
  }

  private void handle(HttpServerExchange exchange) throws Exception {
    if (exchange.getRequestPath().equals("/control/state")) {
      setState(
          String.valueOf(StandInServer.parameter(exchange, "box")),
          String.valueOf(StandInServer.parameter(exchange, "state")));
      StandInServer.sendJson(exchange, 200, Map.of("ok", true));
    } else if (exchange.getRequestMethod().toString().equals("POST")) {
      var box = StandInServer.readJson(exchange);
      add(
          box.path("name").asText(),
          box.path("address").asText(),
          box.path("fabric_domain").asText(),
          box.path("availability_zone").asText());
      StandInServer.sendJson(exchange, 200, Map.of("ok", true));
    } else {
      StandInServer.sendJson(exchange, 200, currentList());
    }
  }
}
