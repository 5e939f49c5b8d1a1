package org.shoreroad.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.config.ServiceSpec;
import org.shoreroad.daemon.intent.IntentClient;
import org.shoreroad.daemon.owner.DispatchGuard;
import org.shoreroad.daemon.owner.EngineClient;

/**
 * Calls plain services: the same checks, budgets and verdicts as for models, without replicas.
 *
 * <p>Blocks the calling thread, which is one of the gateway's own pool. Thread-safe.
 */
final class ServiceClient {
  private static final int MAX_ATTEMPTS = 3;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final int UNAVAILABLE = 503;
  private static final int TOO_MANY = 429;

  private final GatewayContext parts;
  private final OkHttpClient client =
      new OkHttpClient.Builder()
          .retryOnConnectionFailure(false)
          .followRedirects(false)
          .connectTimeout(Duration.ofSeconds(1))
          .addNetworkInterceptor(DispatchGuard::intercept)
          .build();

  ServiceClient(GatewayContext parts) {
    this.parts = parts;
  }

  /** A call to a service, checked. */
  record ServiceCall(
      String requestId,
      Caller caller,
      ServiceSpec service,
      String method,
      String path,
      byte[] body,
      String contentType,
      long deadlineNanos) {
    /** Returns the call that an exchange asks for. */
    static ServiceCall of(
        HttpServerExchange exchange, Caller caller, ServiceSpec service, byte[] body) {
      String path = exchange.getRequestPath().substring(("/services/" + service.name()).length());
      String query = exchange.getQueryString();
      String type = exchange.getRequestHeaders().getFirst(Headers.CONTENT_TYPE);
      return new ServiceCall(
          ChatRequest.newId(),
          caller,
          service,
          exchange.getRequestMethod().toString(),
          query.isEmpty() ? path : path + "?" + query,
          body,
          type == null ? "application/octet-stream" : type,
          System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(caller.kind().deadlineMs()));
    }
  }

  /** What a service answered. */
  record ServiceAnswer(int status, String contentType, byte[] body) {}

  /**
   * Calls the service and answers the caller.
   *
   * @param call the call
   * @param answer where the answer goes
   * @param claim the claim of a call that may not be repeated, else null
   */
  void run(ServiceCall call, CallerAnswer answer, IntentClient.@Nullable Claim claim) {
    parts.upstreams().budget(call.caller().account().name(), call.service().key()).recordAttempt();
    boolean mayHaveRun = false;
    ShoreroadException failure = noUpstream();
    List<String> left = new ArrayList<>(call.service().addresses());
    for (int attempt = 1; attempt <= MAX_ATTEMPTS && !left.isEmpty(); attempt++) {
      Optional<String> address = parts.upstreams().choose(left, "", System.nanoTime());
      if (address.isEmpty()) {
        break;
      }
      try {
        ServiceAnswer given = callOnce(call, address.get());
        answer.sendWhole(given.status(), given.contentType(), given.body());
        parts.metrics().count("shoreroad.gateway.service.answers", "status", statusClass(given));
        if (claim != null) {
          parts.intents().finish(claim);
        }
        return;
      } catch (ShoreroadException e) {
        failure = e;
        mayHaveRun |= e.verdict() != Verdict.NOT_RUN;
        left.remove(address.get());
        if (left.isEmpty() || !mayRepeat(call, e)) {
          break;
        }
        parts.metrics().countRetry(e.code().toString());
      }
    }
    finishFailed(failure, mayHaveRun, answer, claim);
  }

  private boolean mayRepeat(ServiceCall call, ShoreroadException failure) {
    boolean isSafe = failure.verdict().isSafeToRepeat() || call.caller().kind().isRepeatable();
    return isSafe
        && call.deadlineNanos() - System.nanoTime() > 0
        && parts.upstreams().budget(call.caller().account().name(), call.service().key()).tryRetry();
  }

  private void finishFailed(
      ShoreroadException last,
      boolean mayHaveRun,
      CallerAnswer answer,
      IntentClient.@Nullable Claim claim) {
    ShoreroadException failure =
        ShoreroadException.of(
            last.code(),
            mayHaveRun ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN,
            String.valueOf(last.getMessage()),
            last.retryAfterMs());
    parts.metrics().countRefusal(failure.code(), failure.verdict());
    answer.fail(failure);
    if (claim != null && !mayHaveRun) {
      parts.intents().withdraw(claim);
    }
  }

  private ServiceAnswer callOnce(ServiceCall call, String address) {
    long sentNanos = System.nanoTime();
    DispatchGuard guard = DispatchGuard.of(call.deadlineNanos());
    boolean hasBody = call.body().length > 0 || call.method().matches("POST|PUT|PATCH");
    Request request =
        new Request.Builder()
            .url("http://" + address + call.path())
            .header(EngineClient.REQUEST_ID_HEADER, call.requestId())
            .tag(DispatchGuard.class, guard)
            .method(
                call.method(),
                hasBody
                    ? RequestBody.create(call.body(), MediaType.parse(call.contentType()))
                    : null)
            .build();
    long timeoutNanos = Math.max(1, call.deadlineNanos() - sentNanos);
    OkHttpClient timed =
        client
            .newBuilder()
            .readTimeout(Duration.ofNanos(timeoutNanos))
            .callTimeout(Duration.ofNanos(timeoutNanos))
            .build();
    parts.upstreams().start(address, sentNanos);
    try (Response response = timed.newCall(request).execute()) {
      return take(response, address, sentNanos);
    } catch (IOException e) {
      parts.upstreams().fail(address, System.nanoTime());
      throw guard.mayHaveBeenSent()
          ? ShoreroadException.of(
              ErrorCode.UPSTREAM_FAILED,
              Verdict.MAY_HAVE_RUN,
              "the service broke off",
              RETRY_AFTER_MS)
          : ShoreroadException.notRun(
              ErrorCode.UPSTREAM_UNREACHABLE, "the service can't be reached", RETRY_AFTER_MS);
    }
  }

  private ServiceAnswer take(Response response, String address, long sentNanos) throws IOException {
    if (response.code() == UNAVAILABLE || response.code() == TOO_MANY) {
      parts.upstreams().fail(address, System.nanoTime());
      throw ShoreroadException.notRun(
          ErrorCode.UPSTREAM_REFUSED, "the service answered " + response.code(), RETRY_AFTER_MS);
    }
    byte[] body = response.body().bytes();
    long now = System.nanoTime();
    parts.upstreams().succeed(address, now - sentNanos, now);
    String type = response.header("Content-Type", "application/octet-stream");
    return new ServiceAnswer(response.code(), String.valueOf(type), body);
  }

  private static String statusClass(ServiceAnswer answer) {
    return answer.status() / 100 + "xx";
  }

  private static ShoreroadException noUpstream() {
    return ShoreroadException.notRun(
        ErrorCode.UPSTREAM_UNREACHABLE, "no address of the service is left", RETRY_AFTER_MS);
  }
}
