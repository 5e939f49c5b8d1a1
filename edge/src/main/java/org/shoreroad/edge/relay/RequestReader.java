package org.shoreroad.edge.relay;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.caller.CallerRequest;
import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.http.HeaderText;
import org.shoreroad.quarantine.RequestFingerprint;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.UpstreamService;

/**
 * Reader of the headers of a caller's request, which also creates the request for the upstream. Not
 * thread-safe.
 */
final class RequestReader {
  /** Value for a request that is sent without a rank header. */
  static final int NO_RANK = -1;

  private static final int LOWEST_RANK = 9;
  private static final String BEARER = "Bearer ";
  private static final int DEFAULT_DEADLINE_MS = 60_000;

  /** Maximum number of parts of a prompt that are read; the rest is not considered. */
  private static final int MAX_PARTS = 64;

  private static final char PART_SEPARATOR = ',';
  private static final char TOKENS_SEPARATOR = ':';

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

  /** Returns the requested model, or an empty string if there is none or its name is not UTF-8. */
  String model() {
    return textOf(request.header(names.model()));
  }

  /** Returns the caller's key, or an empty string if there is none or it is not UTF-8. */
  String key() {
    String authorization = request.header(HttpHeaderNames.AUTHORIZATION.toString());
    return authorization.startsWith(BEARER)
        ? textOf(authorization.substring(BEARER.length()).trim())
        : "";
  }

  private static String textOf(String value) {
    String text = HeaderText.decode(value);
    return text == null ? "" : text;
  }

  long deadlineMs() {
    return Decimals.parse(request.header(names.deadlineMs()), DEFAULT_DEADLINE_MS);
  }

  /** Returns the id of the last event that the caller has received, or -1. */
  long lastEventId() {
    return Decimals.parse(request.header(names.lastEventId()), -1);
  }

  long promptTokens() {
    return Decimals.parse(request.header(names.tokenCount()).split(",", 2)[0].trim(), 0);
  }

  /**
   * Returns the ids of the parts of the prompt that it may share with other requests, in order: all
   * but the last, which belongs to the request or its session.
   */
  Set<String> sharedPartIds() {
    String header = request.header(names.promptParts());
    Set<String> ids = new LinkedHashSet<>();
    int from = 0;
    int end = header.indexOf(PART_SEPARATOR);
    while (end >= 0 && ids.size() < MAX_PARTS) {
      String part = header.substring(from, end);
      int idEnd = part.indexOf(TOKENS_SEPARATOR);
      String id = (idEnd < 0 ? part : part.substring(0, idEnd)).trim();
      if (!id.isEmpty()) {
        ids.add(id);
      }
      from = end + 1;
      end = header.indexOf(PART_SEPARATOR, from);
    }
    return ids;
  }

  /**
   * Returns the caller's estimate of the tokens of the answer, at most the number that it permits,
   * or 0 if it gives none.
   */
  int answerTokens() {
    String[] counts = request.header(names.tokenCount()).split(",", 2);
    long most = counts.length < 2 ? 0 : Decimals.parse(counts[1].trim(), 0);
    long estimate = Decimals.parse(request.header(names.lengthHint()), 0);
    long bounded = most == 0 ? estimate : Math.min(estimate, most);
    return (int) Math.min(Integer.MAX_VALUE, bounded);
  }

  /**
   * Returns the fingerprint, which is the same when the caller sends the request again. It is
   * computed on first use, since requests that ask for no room and end well never need it.
   *
   * @param host the host name of the route, not null. The Host header may contain the port of the
   *     process that the caller has reached, which differs when it sends the request again
   * @param account the client account of the caller, or null; the same in each invocation
   */
  RequestFingerprint fingerprint(String host, @Nullable ClientAccount account) {
    RequestFingerprint computed = fingerprint;
    if (computed == null) {
      computed =
          RequestFingerprint.of(
              request.method().name(),
              host,
              request.uri(),
              account == null ? "" : account.name(),
              request.body().nioBuffer());
      fingerprint = computed;
    }
    return computed;
  }

  /**
   * Returns the request for room at a head.
   *
   * @param service the service, which has engines, not null
   * @param account the client account of the caller, or null
   * @param endNanos the deadline on the steady clock
   * @param excludedHeads the ids of the heads that the request must not be sent to, not null
   */
  RoomBroker.Query toRoomQuery(
      UpstreamService service,
      Route route,
      @Nullable ClientAccount account,
      long endNanos,
      Set<String> excludedHeads) {
    return new RoomBroker.Query(
        service,
        model(),
        account == null ? "" : account.name(),
        rank(route, account),
        promptTokens(),
        answerTokens(),
        request.arrivedNanos(),
        endNanos,
        route.targetLatencyMs(),
        route.targetGapMs(),
        fingerprint(route.host(), account).high(),
        excludedHeads);
  }

  /** Returns how urgent a request is, from 0 to 9, by its client account or else by its route. */
  static int rank(Route route, @Nullable ClientAccount account) {
    boolean hasAccountPriority = account != null && account.priority() != ClientAccount.NO_PRIORITY;
    int priority = hasAccountPriority ? account.priority() : route.priority();
    return Math.max(0, Math.min(LOWEST_RANK, priority));
  }

  /**
   * Creates the request for an upstream. It differs from the caller's request only in the
   * hop-by-hop headers, the key and the headers that this system sets.
   *
   * @param upstreamId the id of the only upstream that may run the request
   * @param deadlineMs the remaining time, in milliseconds
   * @param account the client account, or null
   * @param rank how urgent the request is, or {@link #NO_RANK}
   * @param lastEventId the id of the last event that an earlier attempt forwarded, or -1
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
    headers.set(names.expectedUpstream(), HeaderText.encode(upstreamId));
    headers.set(names.deadlineMs(), Long.toString(deadlineMs));
    if (account != null) {
      headers.set(names.account(), HeaderText.encode(account.name()));
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
