package org.shoreroad.daemon.ops;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.concurrent.CompletionException;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.jspecify.annotations.Nullable;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.daemon.control.ControlLog;
import org.shoreroad.daemon.http.BearerToken;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.member.ContactPolicy;
import org.shoreroad.daemon.member.MembershipService;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.settings.Settings;

/**
 * Serves health checks, metrics and the operators' API over HTTP.
 *
 * <p>{@code /livez}, {@code /readyz} and {@code /metrics} need no authentication; paths under
 * {@code /ops/} require the operator token. Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class OpsService implements Service {
  /** The name of this service. */
  public static final String NAME = "ops";

  private static final String OPS_PATH = "/ops/";
  private static final int WORKERS = 8;
  private static final long MAX_BODY_BYTES = 32L * 1024 * 1024;
  private static final int UNAVAILABLE = 503;
  private static final int OK = 200;
  private static final int READ_TIMEOUT_MS = 10_000;

  private final Settings settings;
  private final Metrics metrics;
  private final MembershipService members;
  private final ControlLog control;
  private final ContactPolicy contact;
  private final OpsCalls calls;
  private final ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
  private @Nullable Undertow server;

  /** Creates the service; {@link #start} opens its port. */
  @Inject
  public OpsService(
      Settings settings,
      Metrics metrics,
      MembershipService members,
      ControlLog control,
      ContactPolicy contact,
      OpsCalls calls) {
    this.settings = settings;
    this.metrics = metrics;
    this.members = members;
    this.control = control;
    this.contact = contact;
    this.calls = calls;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    metrics.gauge("shoreroad.ready", () -> findUnreadiness() == null ? 1 : 0);
    InetSocketAddress address = settings.opsListen();
    HttpHandler handler = new BlockingHandler(this::handle);
    Undertow built =
        Undertow.builder()
            .addHttpListener(address.getPort(), address.getHostString(), handler)
            .setIoThreads(1)
            .setWorkerThreads(WORKERS)
            .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_BODY_BYTES)
            .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, READ_TIMEOUT_MS)
            .build();
    try {
      built.start();
    } catch (RuntimeException e) {
      throw ShoreroadException.notRun(
          ErrorCode.INTERNAL, "--ops-listen " + address + " can't be bound: " + e.getMessage());
    }
    server = built;
  }

  @Override
  public void stop() {
    if (server != null) {
      server.stop();
    }
  }

  /**
   * Returns the address of the server.
   *
   * @throws IllegalStateException if it is not started
   */
  public InetSocketAddress address() {
    Undertow started = server;
    if (started == null) {
      throw new IllegalStateException("not started");
    }
    return (InetSocketAddress) started.getListenerInfo().get(0).getAddress();
  }

  private void handle(HttpServerExchange exchange) throws Exception {
    String path = exchange.getRequestPath();
    switch (path) {
      case "/livez" -> send(exchange, OK, "text/plain", "alive\n");
      case "/readyz" -> sendReadiness(exchange);
      case "/metrics" ->
          send(exchange, OK, "text/plain; version=0.0.4", metrics.toPrometheusText());
      default -> {
        if (path.startsWith(OPS_PATH)) {
          handleOperator(exchange, path.substring(OPS_PATH.length()));
        } else {
          sendError(
              exchange, ShoreroadException.notRun(ErrorCode.NOT_FOUND, "no such path: " + path));
        }
      }
    }
  }

  private void sendReadiness(HttpServerExchange exchange) {
    String reason = findUnreadiness();
    if (reason == null) {
      send(exchange, OK, "text/plain", "ready\n");
    } else {
      send(exchange, UNAVAILABLE, "text/plain", "not ready: " + reason + "\n");
    }
  }

  private @Nullable String findUnreadiness() {
    if (members.isLeaving()) {
      return "stopping";
    }
    if (!control.isJoined()) {
      return "the control stream is not read to its head";
    }
    if (!members.isJoined()) {
      return "not joined";
    }
    return contact.mayServe(System.nanoTime()) ? null : "out of contact";
  }

  private void handleOperator(HttpServerExchange exchange, String call) throws Exception {
    if (!isOperator(exchange)) {
      sendError(
          exchange,
          ShoreroadException.notRun(
              ErrorCode.OPERATOR_UNKNOWN, "the Authorization header has no valid operator token"));
      return;
    }
    try {
      byte[] body = exchange.getInputStream().readAllBytes();
      Object answer =
          calls.call(
              exchange.getRequestMethod().toString(),
              call,
              firstValues(exchange),
              new String(body, StandardCharsets.UTF_8));
      send(exchange, OK, "application/json", mapper.writeValueAsString(answer));
    } catch (CompletionException e) {
      sendError(
          exchange,
          e.getCause() instanceof ShoreroadException known
              ? known
              : ShoreroadException.notRun(ErrorCode.INTERNAL, String.valueOf(e.getMessage())));
    } catch (ShoreroadException e) {
      sendError(exchange, e);
    }
  }

  private static Map<String, String> firstValues(HttpServerExchange exchange) {
    Map<String, String> values = new java.util.HashMap<>();
    exchange.getQueryParameters().forEach((name, all) -> values.put(name, all.getFirst()));
    return values;
  }

  private boolean isOperator(HttpServerExchange exchange) {
    byte[] token = BearerToken.of(exchange);
    return token != null
        && MessageDigest.isEqual(token, settings.operatorToken().getBytes(StandardCharsets.UTF_8));
  }

  private void sendError(HttpServerExchange exchange, ShoreroadException failure) {
    metrics.countRefusal(failure.code(), failure.verdict());
    Map<String, Object> error =
        Map.of(
            "code", failure.code().toString(),
            "verdict", failure.verdict().toString(),
            "message", String.valueOf(failure.getMessage()),
            "retry_after_ms", failure.retryAfterMs());
    try {
      send(
          exchange,
          failure.code().httpStatus(),
          "application/json",
          mapper.writeValueAsString(Map.of("error", error)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void send(HttpServerExchange exchange, int status, String type, String body) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
    exchange.getResponseSender().send(body);
  }
}
