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
 * Lets a request that may not be repeated pass only with a claim that was won in the log.
 *
 * <p>Thread-safe.
 */
final class ClaimGate {
  private static final long REPEAT_RETRY_MS = 1_000;
  private static final long LOG_RETRY_MS = 2_000;

  private final IntentClient intents;
  private final RequestTrace trace;
  private final BiConsumer<HttpServerExchange, ShoreroadException> refuse;

  /**
   * Creates the gate.
   *
   * @param intents makes the claims
   * @param trace notes what became of them
   * @param refuse answers a request that does not pass, from any thread
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
   * Claims what may not be repeated.
   *
   * @param caller who calls, with the key if one is needed
   * @param requestId the request
   * @param exchange where a refusal goes
   * @param release called if the request does not pass
   * @param next takes the claim, or null if none is needed
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
              ErrorCode.ALREADY_RAN, Verdict.RAN, "a request with this key ran to its end", 0);
      case LOST_STARTED ->
          ShoreroadException.of(
              ErrorCode.ALREADY_STARTED,
              Verdict.MAY_HAVE_RUN,
              "a request with this key was started",
              REPEAT_RETRY_MS);
      default ->
          ShoreroadException.notRun(
              ErrorCode.LOG_UNAVAILABLE, "the log did not take the request's intent", LOG_RETRY_MS);
    };
  }
}
