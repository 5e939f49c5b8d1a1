package org.shoreroad.daemon.gateway;

import com.google.common.hash.Hashing;
import io.undertow.server.HttpServerExchange;
import java.security.MessageDigest;
import org.jspecify.annotations.Nullable;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.config.AccountSpec;
import org.shoreroad.config.Configuration;
import org.shoreroad.config.KindSpec;
import org.shoreroad.daemon.http.BearerToken;
import org.shoreroad.intent.RequestKey;

/**
 * The client account, the request kind and the idempotency key of a request that passed the checks.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param account the client account
 * @param kind the request kind
 * @param key the idempotency key of a request that may not be repeated, else null
 */
record Caller(AccountSpec account, KindSpec kind, @Nullable RequestKey key) {
  private static final String KIND_HEADER = "X-Request-Kind";
  private static final String KEY_HEADER = "Idempotency-Key";

  /**
   * Checks a request's headers.
   *
   * @param exchange the request
   * @param configuration the applied configuration
   * @param target the target of the request: {@code model/NAME} or {@code service/NAME}
   * @param nowMs the time in milliseconds since 1970
   * @param windowMs the maximum age of a key in milliseconds
   * @return the caller
   * @throws ShoreroadException if a header is missing or invalid, or no route allows the request
   */
  static Caller check(
      HttpServerExchange exchange,
      Configuration configuration,
      String target,
      long nowMs,
      long windowMs) {
    AccountSpec account = findAccount(exchange, configuration);
    String kindName = exchange.getRequestHeaders().getFirst(KIND_HEADER);
    KindSpec kind =
        configuration
            .kind(kindName == null ? "" : kindName)
            .orElseThrow(
                () ->
                    ShoreroadException.notRun(
                        ErrorCode.UNKNOWN_KIND,
                        KIND_HEADER + " is '" + kindName + "', which is not a declared kind"));
    if (!configuration.isRouted(account.name(), kind.name(), target)) {
      throw ShoreroadException.notRun(
          ErrorCode.NOT_ROUTED,
          "no route allows " + account.name() + " to send " + kind.name() + " to " + target);
    }
    return new Caller(account, kind, findKey(exchange, account, kind, nowMs, windowMs));
  }

  /**
   * Returns the client account that the API key of the request belongs to.
   *
   * @throws ShoreroadException if the request has no key of a declared account
   */
  static AccountSpec findAccount(HttpServerExchange exchange, Configuration configuration) {
    byte[] key = BearerToken.of(exchange);
    if (key != null) {
      byte[] digest = Hashing.sha256().hashBytes(key).asBytes();
      for (AccountSpec account : configuration.all(AccountSpec.class)) {
        byte[] expected = java.util.HexFormat.of().parseHex(account.keySha256());
        if (MessageDigest.isEqual(digest, expected)) {
          return account;
        }
      }
    }
    throw ShoreroadException.notRun(
        ErrorCode.UNKNOWN_ACCOUNT, "the Authorization header has no key of a declared account");
  }

  private static @Nullable RequestKey findKey(
      HttpServerExchange exchange, AccountSpec account, KindSpec kind, long nowMs, long windowMs) {
    if (kind.isRepeatable()) {
      return null;
    }
    String text = exchange.getRequestHeaders().getFirst(KEY_HEADER);
    if (text == null) {
      throw ShoreroadException.notRun(
          ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
          "kind " + kind.name() + " may not be repeated and needs " + KEY_HEADER);
    }
    RequestKey key;
    try {
      key = RequestKey.parse(account.name(), text);
    } catch (IllegalArgumentException e) {
      throw ShoreroadException.notRun(
          ErrorCode.IDEMPOTENCY_KEY_REQUIRED, KEY_HEADER + " must be a version 7 UUID");
    }
    if (key.findWindowExcess(nowMs, windowMs).isPresent()) {
      throw ShoreroadException.notRun(
          ErrorCode.IDEMPOTENCY_KEY_REQUIRED,
          KEY_HEADER + " was not created within the last " + windowMs + " ms");
    }
    return key;
  }
}
