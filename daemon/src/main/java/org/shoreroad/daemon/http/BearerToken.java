package org.shoreroad.daemon.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/** Bearer token in the Authorization header of a request. All methods are thread-safe. */
public final class BearerToken {
  private static final String SCHEME = "Bearer ";

  private BearerToken() {}

  /**
   * Returns the token of a request.
   *
   * @param exchange the request, not null
   * @return the bytes as they were received, or null if the request has no bearer token
   */
  public static byte @Nullable [] of(HttpServerExchange exchange) {
    String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
    // Undertow reads each byte of a header as one character.
    return header == null || !header.startsWith(SCHEME)
        ? null
        : header.substring(SCHEME.length()).getBytes(StandardCharsets.ISO_8859_1);
  }
}
