package org.shoreroad.daemon.gateway;

import io.undertow.server.HttpServerExchange;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.daemon.intent.IntentClient;
import org.shoreroad.daemon.peer.ClaimResult;

/**
 * Claims the idempotency keys of requests that may not be repeated, before they are started.
 *
 * <p>Such a request is started only after its claim was won in the log. Thread-safe.
 */
final class ClaimGate {
  private static final long REPEAT_RETRY_MS = 1_000;
  private static final long LOG_RETRY_MS = 2_000;

  private final IntentClient intents;
  private final RequestTrace trace;
  private final BiConsumer<HttpServerExchange, ShoreroadException> refuse;

  /**
   * Creates the claim gate.
   *
   * @param intents appends the claims to the log
   * @param trace records the results of the claims
   * @param refuse answers a request whose claim was not won, from any thread
   */
  ClaimGate(
      IntentClient intents,
      RequestTrace trace,
      BiConsumer<HttpServerExchange, ShoreroadException> refuse) {
    this.intents = intents;
    this.trace = trace;
    this.refuse = refuse;
  }

  /**
   * Claims the key of a request that may not be repeated; continues at once with any other.
   *
   * @param caller the caller, with the key if the request may not be repeated
   * @param requestId the request's id
   * @param exchange the exchange that a refusal is sent to
   * @param release called if the claim was not won
   * @param next receives the claim, or null if none is needed
   */
  void claimIfRequired(
      Caller caller,
      String requestId,
      HttpServerExchange exchange,
      Runnable release,
      Consumer<IntentClient.@Nullable Claim> next) {
    if (caller.key() == null) {
      next.accept(null);
      return;
    }
    IntentClient.Claim claim = intents.newClaim(caller.key());
    intents
        .claim(claim)
        .thenAccept(
            result -> {
              trace.add(requestId, "claim " + result);
              if (result == ClaimResult.WON) {
                next.accept(claim);
                return;
              }
              release.run();
              if (result == ClaimResult.UNAVAILABLE) {
                intents.withdraw(claim);
              }
              refuse.accept(exchange, refusal(result));
            });
  }

  private static ShoreroadException refusal(ClaimResult result) {
    return switch (result) {
      case LOST_FINISHED ->
          ShoreroadException.of(
              ErrorCode.ALREADY_RAN, Verdict.RAN, "a request with this key has already run", 0);
      case LOST_STARTED ->
          ShoreroadException.of(
              ErrorCode.ALREADY_STARTED,
              Verdict.MAY_HAVE_RUN,
              "a request with this key was already started",
              REPEAT_RETRY_MS);
      default ->
          ShoreroadException.notRun(
              ErrorCode.LOG_UNAVAILABLE,
              "the log did not accept the intent of the request",
              LOG_RETRY_MS);
    };
  }
}
