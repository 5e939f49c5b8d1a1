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
import org.shoreroad.daemon.http.AnswerBody;
import org.shoreroad.daemon.http.HttpClients;
import org.shoreroad.daemon.intent.IntentClient;
import org.shoreroad.daemon.owner.DispatchGuard;
import org.shoreroad.daemon.owner.EngineClient;

/**
 * Client of the plain services, with the same checks, retry budgets and verdicts as for models.
 *
 * <p>Services have no replicas. Each call blocks the calling thread, which belongs to the gateway's
 * pool for service calls. Thread-safe.
 */
final class ServiceClient {
  private static final int MAX_ATTEMPTS = 3;
  private static final long RETRY_AFTER_MS = 1_000;
  private static final int UNAVAILABLE = 503;
  private static final int TOO_MANY = 429;

  private final GatewayContext context;
  private final OkHttpClient client =
      DispatchGuard.addTo(HttpClients.newBuilder())
          .followRedirects(false)
          .connectTimeout(Duration.ofSeconds(1))
          .build();

  ServiceClient(GatewayContext context) {
    this.context = context;
  }

  /** A call to a service that passed the checks. */
  record ServiceCall(
      String requestId,
      Caller caller,
      ServiceSpec service,
      String method,
      String path,
      byte[] body,
      String contentType,
      long deadlineNanos) {
    /** Creates the call from a caller's HTTP exchange. */
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

  /** The answer of a service. */
  record ServiceAnswer(int status, String contentType, byte[] body) {}

  /**
   * Calls the service and answers the caller.
   *
   * @param call the call
   * @param answer writes the answer to the caller
   * @param claim the claim of a call that may not be repeated, else null
   */
  void run(ServiceCall call, CallerAnswer answer, IntentClient.@Nullable Claim claim) {
    context
        .upstreams()
        .budget(call.caller().account().name(), call.service().key())
        .recordAttempt();
    boolean mayHaveRun = false;
    ShoreroadException failure = noAddress();
    List<String> untried = new ArrayList<>(call.service().addresses());
    for (int attempt = 1; attempt <= MAX_ATTEMPTS && !untried.isEmpty(); attempt++) {
      Optional<String> address = context.upstreams().choose(untried, "", System.nanoTime());
      if (address.isEmpty()) {
        break;
      }
      try {
        ServiceAnswer serviceAnswer = callOnce(call, address.get());
        answer.sendComplete(
            serviceAnswer.status(), serviceAnswer.contentType(), serviceAnswer.body());
        context
            .metrics()
            .count("shoreroad.gateway.service.answers", "status", statusClass(serviceAnswer));
        if (claim != null) {
          context.intents().finish(claim);
        }
        return;
      } catch (ShoreroadException e) {
        failure = e;
        mayHaveRun |= e.verdict() != Verdict.NOT_RUN;
        untried.remove(address.get());
        if (untried.isEmpty() || !mayRetry(call, e)) {
          break;
        }
        context.metrics().countRetry(e.code().toString());
      }
    }
    finishFailed(failure, mayHaveRun, answer, claim);
  }

  private boolean mayRetry(ServiceCall call, ShoreroadException failure) {
    boolean isSafe = failure.verdict().isSafeToRepeat() || call.caller().kind().isRepeatable();
    return isSafe
        && call.deadlineNanos() - System.nanoTime() > 0
        && context
            .upstreams()
            .budget(call.caller().account().name(), call.service().key())
            .tryRetry();
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
    context.metrics().countRefusal(failure.code(), failure.verdict());
    answer.fail(failure);
    if (claim != null && !mayHaveRun) {
      context.intents().withdraw(claim);
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
    OkHttpClient clientWithTimeout =
        client
            .newBuilder()
            .readTimeout(Duration.ofNanos(timeoutNanos))
            .callTimeout(Duration.ofNanos(timeoutNanos))
            .build();
    context.upstreams().start(address, sentNanos);
    try (Response response = clientWithTimeout.newCall(request).execute()) {
      return readAnswer(response, address, sentNanos);
    } catch (IOException e) {
      context.upstreams().fail(address, System.nanoTime());
      throw guard.mayHaveBeenSent()
          ? ShoreroadException.of(
              ErrorCode.UPSTREAM_FAILED,
              Verdict.MAY_HAVE_RUN,
              "the connection to the service failed",
              RETRY_AFTER_MS)
          : ShoreroadException.notRun(
              ErrorCode.UPSTREAM_UNREACHABLE, "the service can't be reached", RETRY_AFTER_MS);
    }
  }

  private ServiceAnswer readAnswer(Response response, String address, long sentNanos)
      throws IOException {
    if (response.code() == UNAVAILABLE || response.code() == TOO_MANY) {
      context.upstreams().fail(address, System.nanoTime());
      throw ShoreroadException.notRun(
          ErrorCode.UPSTREAM_REFUSED, "the service answered " + response.code(), RETRY_AFTER_MS);
    }
    byte[] body = AnswerBody.read(response);
    long now = System.nanoTime();
    context.upstreams().succeed(address, now - sentNanos, now);
    String type = response.header("Content-Type", "application/octet-stream");
    return new ServiceAnswer(response.code(), String.valueOf(type), body);
  }

  private static String statusClass(ServiceAnswer answer) {
    return answer.status() / 100 + "xx";
  }

  private static ShoreroadException noAddress() {
    return ShoreroadException.notRun(
        ErrorCode.UPSTREAM_UNREACHABLE, "the service has no other address to try", RETRY_AFTER_MS);
  }
}
