package org.shoreroad.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.jspecify.annotations.Nullable;

/** Blocking HTTP server on a loopback port, with helpers shared by the stand-ins. Thread-safe. */
public final class StandInServer implements AutoCloseable {
  static final ObjectMapper MAPPER = new ObjectMapper();

  private final Undertow server;

  private StandInServer(Undertow server) {
    this.server = server;
  }

  /** Starts a server on a port of 127.0.0.1, 0 for a free one. */
  public static StandInServer start(int port, int workers, HttpHandler handler) {
    Undertow server =
        Undertow.builder()
            .addHttpListener(port, "127.0.0.1", new BlockingHandler(handler))
            .setIoThreads(1)
            .setWorkerThreads(workers)
            .build();
    server.start();
    return new StandInServer(server);
  }

  /** Returns the port. */
  public int port() {
    return ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
  }

  /** Returns {@code host:port}. */
  public String address() {
    return "127.0.0.1:" + port();
  }

  @Override
  public void close() {
    server.stop();
  }

  static JsonNode readJson(HttpServerExchange exchange) throws IOException {
    return MAPPER.readTree(exchange.getInputStream().readAllBytes());
  }

  static void sendJson(HttpServerExchange exchange, int status, Object body) throws IOException {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
    exchange.getResponseSender().send(MAPPER.writeValueAsString(body));
  }

  static void sendStatus(HttpServerExchange exchange, int status) {
    exchange.setStatusCode(status);
    exchange.endExchange();
  }

  static @Nullable String parameter(HttpServerExchange exchange, String name) {
    var values = exchange.getQueryParameters().get(name);
    return values == null ? null : values.getFirst();
  }

  static long number(HttpServerExchange exchange, String name, long defaultValue) {
    String text = parameter(exchange, name);
    return text == null ? defaultValue : Long.parseLong(text);
  }
}
