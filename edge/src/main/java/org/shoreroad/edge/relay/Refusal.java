package org.shoreroad.edge.relay;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;

/**
 * Reason why this system answers a request itself, with the HTTP status of the answer.
 *
 * <p>429 and 503 promise that the request has not run; 502 and 504 promise nothing.
 *
 * @since 0.2
 */
enum Refusal {
  NO_CONFIGURATION(HttpResponseStatus.SERVICE_UNAVAILABLE),
  STOPPING(HttpResponseStatus.SERVICE_UNAVAILABLE),
  NO_ROUTE(HttpResponseStatus.NOT_FOUND),
  UNKNOWN_KEY(HttpResponseStatus.UNAUTHORIZED),
  KEYS_TOO_OLD(HttpResponseStatus.SERVICE_UNAVAILABLE),
  NO_REPLICA(HttpResponseStatus.SERVICE_UNAVAILABLE),
  NO_PATH(HttpResponseStatus.SERVICE_UNAVAILABLE),
  NO_PLACE(HttpResponseStatus.SERVICE_UNAVAILABLE),
  HELD_BACK(HttpResponseStatus.SERVICE_UNAVAILABLE),
  COLD(HttpResponseStatus.SERVICE_UNAVAILABLE),
  EVACUATED(HttpResponseStatus.SERVICE_UNAVAILABLE),
  QUARANTINED(HttpResponseStatus.SERVICE_UNAVAILABLE),
  PART_QUARANTINED(HttpResponseStatus.SERVICE_UNAVAILABLE),
  MEMORY_FULL(HttpResponseStatus.SERVICE_UNAVAILABLE),
  UPSTREAM_REFUSED(HttpResponseStatus.SERVICE_UNAVAILABLE),
  NOT_SENT_IN_TIME(HttpResponseStatus.SERVICE_UNAVAILABLE),
  UPSTREAM_FAILED(HttpResponseStatus.BAD_GATEWAY),
  NOT_ANSWERED_IN_TIME(HttpResponseStatus.GATEWAY_TIMEOUT);

  private final HttpResponseStatus status;

  Refusal(HttpResponseStatus status) {
    this.status = status;
  }

  HttpResponseStatus status() {
    return status;
  }

  /** Returns true if the answer promises that the request has not run. */
  boolean promisesNotRun() {
    return status == HttpResponseStatus.SERVICE_UNAVAILABLE;
  }

  /**
   * Returns the headers of the answer.
   *
   * @param retryAfterSeconds the time after which the caller is asked to retry, in seconds, which
   *     is sent only if the request has not run
   */
  HttpHeaders headers(String retryAfterSeconds) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("X-Shoreroad-Reason", code());
    if (promisesNotRun()) {
      headers.set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds);
    }
    return headers;
  }

  /** Returns true if the request could be served if its model had more replicas. */
  boolean isForWantOfRoom() {
    return switch (this) {
      case NO_REPLICA, NO_PLACE, UPSTREAM_REFUSED, NOT_SENT_IN_TIME, NOT_ANSWERED_IN_TIME -> true;
      default -> false;
    };
  }

  /** Returns how a request with this refusal is counted as ended. */
  RequestEnd end() {
    return switch (this) {
      case UPSTREAM_FAILED -> RequestEnd.FAILED;
      case NOT_ANSWERED_IN_TIME -> RequestEnd.TIMED_OUT;
      default -> RequestEnd.REFUSED;
    };
  }

  /** Returns the text form for answers, logs and counters, such as {@code no_place}. */
  String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
