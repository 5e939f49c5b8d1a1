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
 * HTTP server for the engine of one box, with an OpenAI-style API, health, load and unload orders
 * and resumable streams. Its load report lags; {@code GET /cache/events?after=N} returns the events
 * of its prompt cache, late and with gaps. Thread-safe.
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
   * Starts the engine of a box.
   *
   * @param name the name of the box
   * @param isFenced whether it refuses stale fencing numbers
   * @param tokenDelayMs the time for each token, in milliseconds
   * @param loadDelayMs the time for a load, in milliseconds
   * @param port the port, 0 for a free one
   * @param history the history to which it adds its events
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

  /** Stops the engine abruptly: connections break, loads and running requests are lost. */
  public void kill() {
    box.kill();
  }

  /** Restarts a killed engine with a new boot id. */
  public void revive() {
    box.revive();
  }

  /** Suspends the engine, or resumes it. */
  public void setFrozen(boolean frozen) {
    box.setFrozen(frozen);
  }

  /** Sets the time for each token, in milliseconds. */
  public void setTokenDelayMs(long ms) {
    box.setTokenDelayMs(ms);
  }

  /** Sets the time for each later load, in milliseconds. */
  public void setLoadDelayMs(long ms) {
    box.setLoadDelayMs(ms);
  }

  /** Closes the connection of each later request after so many streamed tokens; 0 for never. */
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
    boolean isAccepted = isLoad ? box.load(name, fence) : box.unload(name, fence);
    StandInServer.sendStatus(exchange, isAccepted ? ACCEPTED : CONFLICT);
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
    run.startGenerating();
    exchange.getResponseHeaders().put(REQUEST_ID, requestId);
    if (body.path("stream").asBoolean()) {
      sendEvents(exchange, run, 0, box.cutAfterTokens());
    } else {
      sendCompletion(exchange, run, requestId);
    }
  }

  private void sendCompletion(HttpServerExchange exchange, EngineRun run, String requestId)
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
      String lastEventId = exchange.getRequestHeaders().getFirst("Last-Event-ID");
      exchange.getResponseHeaders().put(REQUEST_ID, requestId);
      sendEvents(exchange, run, lastEventId == null ? 0 : Integer.parseInt(lastEventId) + 1, 0);
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
