package org.shoreroad.standins;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * One box's engine over HTTP, in the shape of an OpenAI-style server, with health, orders and a
 * stream that can be taken up again. Its load report lags; {@code GET /cache/events?after=N} tells
 * of its prompt cache, late and with gaps.
 *
 * <p>{@code POST /control/ACTION}: {@code kill}, {@code revive}, {@code freeze}, {@code thaw},
 * {@code slow?ms=N} (between tokens), {@code load_ms?ms=N}, {@code cut?tokens=N}.
 */
public final class EngineServer implements AutoCloseable {
  private static final int WORKERS = 600;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int ACCEPTED = 202;
  private static final String FENCE = "X-Fencing-Number";
  private static final HttpString REQUEST_ID = new HttpString("X-Request-Id");

  private final EngineBox box;
  private final StandInServer server;

  private EngineServer(EngineBox box, int port) {
    this.box = box;
    this.server = StandInServer.start(port, WORKERS, this::handle);
  }

  /**
   * Starts a box.
   *
   * @param name its name
   * @param isFenced whether it refuses old fencing numbers
   * @param tokenDelayMs how long each token takes
   * @param loadDelayMs how long a load takes
   * @param port the port, 0 for a free one
   * @param history where it writes what it does
   */
  public static EngineServer start(
      String name,
      boolean isFenced,
      long tokenDelayMs,
      long loadDelayMs,
      int port,
      EngineHistory history) {
    return new EngineServer(
        new EngineBox(name, isFenced, tokenDelayMs, loadDelayMs, history), port);
  }

  /** Returns {@code host:port}. */
  public String address() {
    return server.address();
  }

  /** Kills the engine: connections break, what it held is gone. */
  public void kill() {
    box.kill();
  }

  /** Starts the engine anew. */
  public void revive() {
    box.revive();
  }

  /** Freezes the engine, or thaws it. */
  public void setFrozen(boolean frozen) {
    box.setFrozen(frozen);
  }

  /** Sets how long each token takes. */
  public void setTokenDelayMs(long ms) {
    box.setTokenDelayMs(ms);
  }

  /** Sets how long a load takes. */
  public void setLoadDelayMs(long ms) {
    box.setLoadDelayMs(ms);
  }

  /** Makes the connection of each next request break after so many tokens, 0 for never. */
  public void setCutAfterTokens(int tokens) {
    box.setCutAfterTokens(tokens);
  }

  @Override
  public void close() {
    server.close();
  }

  private void handle(HttpServerExchange exchange) throws Exception {
    String path = exchange.getRequestPath();
    if (path.startsWith("/control/")) {
      control(exchange, path.substring("/control/".length()));
      return;
    }
    box.awaitThaw();
    if (box.isDead()) {
      exchange.getConnection().close();
    } else if (path.equals("/health")) {
      StandInServer.sendJson(exchange, 200, box.health());
    } else if (path.equals("/cache/events")) {
      long after = StandInServer.number(exchange, "after", -1);
      StandInServer.sendJson(exchange, 200, box.cacheEventsAfter(after));
    } else if (path.startsWith("/orders/")) {
      order(exchange, path.endsWith("/load"));
    } else if (path.equals("/v1/chat/completions")) {
      chat(exchange);
    } else if (path.startsWith("/v1/streams/")) {
      stream(exchange, path.substring("/v1/streams/".length()));
    } else {
      StandInServer.sendStatus(exchange, NOT_FOUND);
    }
  }

  private void control(HttpServerExchange exchange, String action) throws IOException {
    long ms = StandInServer.number(exchange, "ms", 0);
    switch (action) {
      case "kill" -> box.kill();
      case "revive" -> box.revive();
      case "freeze" -> box.setFrozen(true);
      case "thaw" -> box.setFrozen(false);
      case "slow" -> box.setTokenDelayMs(ms);
      case "load_ms" -> box.setLoadDelayMs(ms);
      case "cut" -> box.setCutAfterTokens((int) StandInServer.number(exchange, "tokens", 0));
      default -> {
        StandInServer.sendStatus(exchange, NOT_FOUND);
        return;
      }
    }
    StandInServer.sendJson(exchange, 200, Map.of("done", action));
  }

  private void order(HttpServerExchange exchange, boolean isLoad) throws IOException {
    String name = StandInServer.readJson(exchange).path("name").asText();
    long fence = fence(exchange);
    boolean isTaken = isLoad ? box.load(name, fence) : box.unload(name, fence);
    StandInServer.sendStatus(exchange, isTaken ? ACCEPTED : CONFLICT);
  }

  private static long fence(HttpServerExchange exchange) {
    String text = exchange.getRequestHeaders().getFirst(FENCE);
    return text == null ? 0 : Long.parseLong(text);
  }

  private void chat(HttpServerExchange exchange) throws Exception {
    JsonNode body = StandInServer.readJson(exchange);
    String requestId = String.valueOf(exchange.getRequestHeaders().getFirst(REQUEST_ID));
    EngineRun run = box.start(requestId, body, fence(exchange));
    if (run == null) {
      StandInServer.sendStatus(exchange, NOT_FOUND);
      return;
    }
    run.begin();
    exchange.getResponseHeaders().put(REQUEST_ID, requestId);
    if (body.path("stream").asBoolean()) {
      sendEvents(exchange, run, 0, box.cutAfterTokens());
    } else {
      sendWhole(exchange, run, requestId);
    }
  }

  private void sendWhole(HttpServerExchange exchange, EngineRun run, String requestId)
      throws Exception {
    String text = run.awaitText();
    box.awaitThaw();
    if (text.isEmpty() || box.isDead()) {
      exchange.getConnection().close();
      return;
    }
    Map<String, Object> choice =
        Map.of(
            "index",
            0,
            "message",
            Map.of("role", "assistant", "content", text),
            "finish_reason",
            "stop");
    StandInServer.sendJson(
        exchange,
        200,
        Map.of(
            "id", requestId,
            "object", "chat.completion",
            "model", run.loadName(),
            "choices", List.of(choice),
            "usage", Map.of("completion_tokens", run.tokenCount())));
  }

  private void stream(HttpServerExchange exchange, String requestId) throws Exception {
    @Nullable EngineRun run = box.find(requestId);
    if (run == null) {
      StandInServer.sendStatus(exchange, NOT_FOUND);
    } else if (exchange.getRequestMethod().toString().equals("DELETE")) {
      run.fail();
      StandInServer.sendStatus(exchange, ACCEPTED);
    } else {
      String last = exchange.getRequestHeaders().getFirst("Last-Event-ID");
      exchange.getResponseHeaders().put(REQUEST_ID, requestId);
      sendEvents(exchange, run, last == null ? 0 : Integer.parseInt(last) + 1, 0);
    }
  }

  private void sendEvents(HttpServerExchange exchange, EngineRun run, int from, int cutAfter)
      throws Exception {
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
    OutputStream out = exchange.getOutputStream();
    for (int number = from; ; number++) {
      String event = run.awaitEvent(number);
      box.awaitThaw();
      boolean isCut = cutAfter > 0 && number - from >= cutAfter;
      if (event.isEmpty() || box.isDead() || isCut) {
        exchange.getConnection().close();
        return;
      }
      String id = event.equals("[DONE]") ? "" : "id: " + number + "\n";
      out.write((id + "data: " + event + "\n\n").getBytes(StandardCharsets.UTF_8));
      out.flush();
      if (event.equals("[DONE]")) {
        out.close();
        return;
      }
    }
  }
}
