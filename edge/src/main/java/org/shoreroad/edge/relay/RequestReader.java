package org.shoreroad.edge.relay;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.caller.CallerRequest;
import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.quarantine.RequestFingerprint;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.Route;

/** Reads what a request's headers say, and writes those that its upstream gets. */
final class RequestReader {
  /** Stands for a request whose urgency the upstream is not told. */
  static final int NO_RANK = -1;

  private static final int LOWEST_RANK = 9;
  private static final String BEARER = "Bearer ";
  private static final int DEFAULT_DEADLINE_MS = 60_000;

  private final CallerRequest request;
  private final HeaderNames names;
  private @Nullable RequestFingerprint fingerprint;

  RequestReader(CallerRequest request, HeaderNames names) {
    this.request = request;
    this.names = names;
  }

  String attemptId() {
    return request.header(names.attemptId());
  }

  String model() {
    return request.header(names.model());
  }

  /** Returns the key that the caller shows, or an empty text. */
  String key() {
    String authorization = request.header(HttpHeaderNames.AUTHORIZATION.toString());
    return authorization.startsWith(BEARER) ? authorization.substring(BEARER.length()).trim() : "";
  }

  long deadlineMs() {
    return Decimals.parse(request.header(names.deadlineMs()), DEFAULT_DEADLINE_MS);
  }

  /** Returns the last event that the caller has, or -1. */
  long lastEventId() {
    return Decimals.parse(request.header(names.lastEventId()), -1);
  }

  long promptTokens() {
    return Decimals.parse(request.header(names.tokenCount()).split(",", 2)[0].trim(), 0);
  }

  /**
   * Returns what identifies the request over its caller's returns. It is computed when it is first
   * asked for, since most requests end well and never need it.
   *
   * @param host the host name of the route, not null. The header may carry the port of the process
   *     that a caller has come to, which differs at its next return
   * @param account the client account of the caller, or null; the same in each invocation
   */
  RequestFingerprint fingerprint(String host, @Nullable ClientAccount account) {
    RequestFingerprint known = fingerprint;
    if (known == null) {
      known =
          RequestFingerprint.of(
              request.method().name(),
              host,
              request.uri(),
              account == null ? "" : account.name(),
              request.body().nioBuffer());
      fingerprint = known;
    }
    return known;
  }

  /** Returns how urgent a request is, from 0, by its client account or else by its route. */
  static int rank(Route route, @Nullable ClientAccount account) {
    boolean isAccounts = account != null && account.priority() != ClientAccount.NO_PRIORITY;
    int priority = isAccounts ? account.priority() : route.priority();
    return Math.max(0, Math.min(LOWEST_RANK, priority));
  }

  /**
   * Returns the request for an upstream: unaltered but for the headers of one connection, the key,
   * and those that this system sets.
   *
   * @param upstreamId the only upstream that may run it
   * @param deadlineMs the time that is left, in milliseconds
   * @param account the client account, or null
   * @param rank how urgent it is, or {@link #NO_RANK}
   * @param lastEventId the last event that was passed on by an earlier attempt, or -1
   */
  FullHttpRequest toUpstreamRequest(
      String upstreamId,
      long deadlineMs,
      @Nullable ClientAccount account,
      int rank,
      long lastEventId) {
    HttpHeaders headers = HopByHopHeaders.copyWithout(request.headers());
    headers.remove(HttpHeaderNames.AUTHORIZATION);
    headers.remove(names.account());
    headers.remove(names.rank());
    headers.set(names.expectedUpstream(), upstreamId);
    headers.set(names.deadlineMs(), Long.toString(deadlineMs));
    if (account != null) {
      headers.set(names.account(), account.name());
    }
    if (rank != NO_RANK) {
      headers.set(names.rank(), Integer.toString(rank));
    }
    if (lastEventId >= 0) {
      headers.set(names.lastEventId(), Long.toString(lastEventId));
    }
    if (request.body().isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        request.method(),
        request.uri(),
        request.body().retainedDuplicate(),
        headers,
        new DefaultHttpHeaders());
  }
}
