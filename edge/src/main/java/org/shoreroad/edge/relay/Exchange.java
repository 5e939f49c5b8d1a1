package org.shoreroad.edge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.caller.AnswerChannel;
import org.shoreroad.edge.caller.CallerExchange;
import org.shoreroad.edge.caller.CallerRequest;
import org.shoreroad.quarantine.Crash;
import org.shoreroad.quarantine.RequestFingerprint;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.RequestKind;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.UpstreamService;

/**
 * One request from its arrival to its last byte: admission, attempts, resumption, answer.
 *
 * <p>A request that may not be repeated is sent again only if the former upstream itself said that
 * it did not run, or nothing of it had left. Used on the event loop only.
 *
 * @since 0.2
 */
final class Exchange implements CallerExchange {
  /** A plain upstream ends a request about this often: three with six places, 20 ms a request. */
  private static final int PLAIN_WAIT_MS = 20;

  private static final int SMALLEST_DEADLINE_MS = 20;

  private final Relay relay;
  private final CallerRequest request;
  private final AnswerChannel answers;
  private final SendHistory sends = new SendHistory();
  private final OpenAttempts attempts = new OpenAttempts();
  private final RequestReader reader;
  private final ExchangeLog log;
  private final String model;
  private final long promptTokens;
  private RequestTargets targets;
  private @Nullable Route route;
  private @Nullable UpstreamService service;
  private @Nullable ModelEngine engine;
  private @Nullable ClientAccount account;
  private @Nullable EventRelay events;
  private long endNanos;
  private long waitUntilNanos;
  private boolean isWaiting;
  private boolean isOver;

  Exchange(Relay relay, CallerRequest request, AnswerChannel answers) {
    this.relay = relay;
    this.request = request;
    this.answers = answers;
    this.reader = new RequestReader(request, relay.headers());
    this.log = new ExchangeLog(relay, request, reader, sends);
    this.model = reader.model();
    this.promptTokens = reader.promptTokens();
    this.targets = new RequestTargets(relay.selector(), null, model, sends, 0);
  }

  /** Admits the request and sends it, or answers it at once. */
  void start() {
    if (relay.isRefusingNew()) {
      refuse(Refusal.STOPPING, RetryAfter.AT_ONCE);
      return;
    }
    Admission admission =
        Admission.of(
            relay.freshness(),
            request.header(HttpHeaderNames.HOST.toString()),
            request.uri(),
            reader.key(),
            relay.random().nextDouble());
    log.setAdmission(admission);
    route = admission.route();
    account = admission.account();
    service = admission.service();
    Route found = route;
    if (admission.refusal() != null || found == null) {
      refuse(Objects.requireNonNull(admission.refusal()), RetryAfter.REPLICA);
      return;
    }
    engine = ModelEngine.of(service, model);
    targets = new RequestTargets(relay.selector(), service, model, sends, found.targetLatencyMs());
    long holdMs = Math.min(reader.deadlineMs(), found.timeoutMs());
    endNanos = request.arrivedNanos() + TimeUnit.MILLISECONDS.toNanos(holdMs);
    waitUntilNanos = request.arrivedNanos() + waitNanos();
    sends.allow(found.maxAttempts());
    if (relay.quarantine().recordArrival(this::fingerprint)) {
      refuse(Refusal.QUARANTINED, RetryAfter.QUARANTINE);
      return;
    }
    if (service != null) {
      relay.budgetOf(service.name()).recordFirst(relay.nowNanos());
    }
    send();
  }

  /** Returns true if the key, if there is one, would be known as taken away by now. */
  private boolean mayUseKey() {
    return account == null || relay.freshness().mayTrustKeys();
  }

  /**
   * Returns how long a request waits for a place before it is refused: engines let requests in and
   * out between passes, so with every place taken one comes free within a pass or so.
   */
  private long waitNanos() {
    ModelEngine of = engine;
    return (long) ((of == null ? PLAIN_WAIT_MS : of.fullPassMs()) * 1e6);
  }

  /**
   * Sends the request to the best upstream, waits a little for one, or gives up.
   *
   * <p>Every way to an upstream leads through here: the first attempt, a repeat, a resumed stream,
   * a second attempt beside a silent one. Attempts are bounded for one try of a caller only; what
   * ends its upstreams is stopped by the quarantine, which counts over tries and processes.
   */
  private void send() {
    isWaiting = false;
    if (isQuarantined()) {
      refuseOrFail(Refusal.QUARANTINED, RetryAfter.QUARANTINE);
      return;
    }
    UpstreamService to = service;
    Optional<Target> target = targets.choose();
    if (to == null || target.isEmpty()) {
      waitOrRefuse();
      return;
    }
    Attempt next = new Attempt(this, relay, target.get(), relay.nowNanos());
    attempts.add(next);
    // Connections are shared with the other processes: each takes its part.
    int connections = Math.max(2, to.maxConnections() / relay.freshness().processCount());
    next.start(to.maxConnections() == 0 ? Integer.MAX_VALUE : connections);
  }

  private void waitOrRefuse() {
    if (!attempts.isEmpty()) {
      // An upstream that fell silent still has the request.
      return;
    }
    boolean isHeldBack = targets.isHeldBack();
    // The next turn or the end of a rest is rarely as close as the next free place.
    boolean mayWait = !isHeldBack && sends.sent() == 0 && relay.nowNanos() < waitUntilNanos;
    // A stream that was begun waits for another replica as long as there is time.
    if (hasBegun() || mayWait) {
      isWaiting = true;
      relay.addWaiting(this);
      return;
    }
    if (isHeldBack) {
      refuseOrFail(Refusal.HELD_BACK, RetryAfter.PLACE);
      return;
    }
    boolean isStanding = targets.isAnyStanding();
    refuseOrFail(
        isStanding ? Refusal.NO_PLACE : Refusal.NO_REPLICA,
        isStanding ? RetryAfter.PLACE : RetryAfter.REPLICA);
  }

  /** Looks after time limits and waiting. */
  void onTick() {
    if (isOver) {
      return;
    }
    if (relay.nowNanos() >= endNanos && route != null) {
      endForTime();
    } else if (isWaiting) {
      send();
    }
  }

  private void endForTime() {
    if (hasBegun()) {
      relay.counters().count("shoreroad.streams.cut", "time");
      abort("time", RequestEnd.TIMED_OUT);
    } else {
      boolean hasLeft = sends.mayHaveRun() || attempts.isAnySent();
      refuse(hasLeft ? Refusal.NOT_ANSWERED_IN_TIME : Refusal.NOT_SENT_IN_TIME, RetryAfter.PLACE);
    }
  }

  /** Returns the request as the upstream gets it. */
  FullHttpRequest toUpstreamRequest(Target target) {
    EventRelay begun = events;
    Route of = route;
    boolean isRanked = target.box().domain() != null && of != null;
    return reader.toUpstreamRequest(
        target.box().id(),
        remainingMs(),
        account,
        isRanked && of != null ? RequestReader.rank(of, account) : RequestReader.NO_RANK,
        begun == null ? -1 : begun.lastId());
  }

  /** Asked right before the first byte leaves. */
  boolean maySendNow() {
    return !isOver && mayUseKey() && !isQuarantined() && relay.nowNanos() < endNanos;
  }

  /** Notes that a byte may have left for an upstream. */
  void onSent(Target target) {
    sends.recordSent(target.box().id());
  }

  /** Takes a stream's head; returns where its body goes. */
  EventRelay onStreamHead(Attempt answering, HttpResponse head) {
    onProgress(answering);
    EventRelay begun = events;
    if (begun == null) {
      begun =
          new EventRelay(answers, relay::nowNanos, request.arrivedNanos(), reader.lastEventId());
      events = begun;
      relay.counters().record("shoreroad.first_head", relay.nowNanos() - request.arrivedNanos());
      answers.begin(head.status(), HopByHopHeaders.copyWithout(head.headers()));
    }
    return begun;
  }

  /** Notes that an upstream answers, so that no other one is needed. */
  void onProgress(Attempt answering) {
    boolean isNewest = answering == attempts.newest();
    if (attempts.keepOnly(answering)) {
      relay.counters().count("shoreroad.attempts.moved", isNewest ? "answered" : "needless");
    }
  }

  /** Passes a whole answer on. */
  void onWholeAnswer(HttpResponse head, ByteBuf body) {
    relay.counters().count("shoreroad.answers", Integer.toString(head.status().code()));
    relay.counters().record("shoreroad.answer", relay.nowNanos() - request.arrivedNanos());
    relay.quarantine().recordAnswer(this::fingerprint);
    finish(RequestEnd.ANSWERED);
    answers.answer(head.status(), HopByHopHeaders.copyWithout(head.headers()), body);
  }

  /** Ends a stream that came to its own end. */
  void onStreamEnd() {
    relay.counters().count("shoreroad.answers", "stream");
    if (events != null) {
      log.writeIfLate(events.timing());
    }
    relay.quarantine().recordAnswer(this::fingerprint);
    finish(RequestEnd.ANSWERED);
    answers.end();
  }

  /** Decides what follows when an attempt brought nothing that can be passed on. */
  void onAttemptFailed(Attempt failed, AttemptFailure end) {
    if (end != AttemptFailure.NOT_SENT && end != AttemptFailure.REFUSED) {
      // Before the failure is noted: that may quarantine this request and answer it.
      sends.recordMayHaveRun();
    }
    boolean isNewest = failed == attempts.newest();
    attempts.remove(failed);
    noteFailure(failed, end);
    if (isOver || !isNewest) {
      return;
    }
    if (end == AttemptFailure.NOT_SENT) {
      sends.recordUnsent(failed.target().box().id());
      retryUnsent();
    } else if (mayRepeatAfter(end)) {
      relay.counters().count("shoreroad.retries", end.code());
      send();
    } else if (hasBegun() && attempts.isEmpty()) {
      abort(end.name(), RequestEnd.CUT);
    } else {
      refuseOrFail(
          end == AttemptFailure.REFUSED ? Refusal.UPSTREAM_REFUSED : Refusal.UPSTREAM_FAILED,
          RetryAfter.PLACE);
    }
  }

  private boolean mayRepeatAfter(AttemptFailure end) {
    Route of = route;
    boolean isAllowed = of != null && (end == AttemptFailure.REFUSED || of.isRepeatable());
    // With an earlier upstream still at work, a repeat is worth it only where it can be sent.
    return isAllowed
        && sends.hasLeft()
        && !isQuarantined()
        && (attempts.isEmpty() || targets.isAnyFree())
        && takeRepeat();
  }

  private void retryUnsent() {
    if (!mayUseKey()) {
      refuseOrFail(Refusal.KEYS_TOO_OLD, RetryAfter.REPLICA);
    } else if (sends.hasTooManyUnsent()) {
      refuseOrFail(Refusal.NO_PLACE, RetryAfter.PLACE);
    } else {
      send();
    }
  }

  private boolean takeRepeat() {
    return service != null
        && relay
            .budgetOf(service.name())
            .tryRepeat(relay.nowNanos(), relay.freshness().processCount());
  }

  /**
   * Sends the request to another upstream as well, since the one with this load is silent.
   *
   * @return true if it could not be sent now and may be soon
   */
  boolean onSilence(UpstreamLoad silent) {
    Attempt newest = attempts.newest();
    if (newest == null || newest.target().load() != silent || !canRepeat()) {
      return false;
    }
    if (!newest.isSent() || isQuarantined() || !targets.isAnyFree() || !takeRepeat()) {
      return true;
    }
    noteFailure(newest, AttemptFailure.STALLED);
    sends.recordMayHaveRun();
    relay.counters().count("shoreroad.retries", AttemptFailure.STALLED.code());
    send();
    return false;
  }

  /**
   * Ends the request if it is one of those that have just been quarantined and no upstream has
   * begun to answer it: an upstream that it still waits at would end too.
   */
  void onQuarantined(Set<RequestFingerprint> requests) {
    if (isOver || !requests.contains(fingerprint())) {
      return;
    }
    if (attempts.isAnySent()) {
      sends.recordMayHaveRun();
    }
    attempts.cancelUnbegun();
    refuseOrFail(Refusal.QUARANTINED, RetryAfter.QUARANTINE);
  }

  private boolean isQuarantined() {
    return relay.quarantine().isQuarantined(this::fingerprint);
  }

  @Override
  public void onCallerGone() {
    if (!isOver) {
      relay.counters().count("shoreroad.callers.gone", hasBegun() ? "midway" : "before");
      finish(RequestEnd.CALLER_GONE);
    }
  }

  /** Ends the request because the process ends. */
  void onProcessEnd() {
    log.write("request_unanswered", "hasBegun", hasBegun());
    finish(RequestEnd.PROCESS_ENDED);
  }

  @Override
  public void onWritabilityChanged(boolean isWritable) {
    attempts.setReading(isWritable);
  }

  /** Ends the request, unless an upstream still has it. */
  private void refuseOrFail(Refusal refusal, RetryAfter retryAfter) {
    if (!attempts.isEmpty()) {
      return;
    }
    if (hasBegun()) {
      abort(refusal.code(), RequestEnd.CUT);
      return;
    }
    boolean isFalse = refusal.promisesNotRun() && sends.mayHaveRun();
    refuse(isFalse ? Refusal.UPSTREAM_FAILED : refusal, retryAfter);
  }

  private void refuse(Refusal refusal, RetryAfter retryAfter) {
    relay.counters().count("shoreroad.refusals", refusal.code());
    log.write("request_refused", "reason", refusal.code());
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set("X-Shoreroad-Reason", refusal.code());
    if (refusal.promisesNotRun()) {
      headers.set(HttpHeaderNames.RETRY_AFTER, retryAfter.headerValue(relay.random()));
    }
    finish(refusal.end());
    answers.answer(refusal.status(), headers, Unpooled.EMPTY_BUFFER);
  }

  private void abort(String why, RequestEnd end) {
    log.writeCut(why, events, endNanos);
    relay.counters().count("shoreroad.answers.cut", why);
    finish(end);
    answers.abort();
  }

  private void noteFailure(Attempt failed, AttemptFailure end) {
    relay.counters().count("shoreroad.attempts.failed", end.code());
    boolean isCrash = end == AttemptFailure.DISCONNECTED;
    log.writeFailure(failed, end, isCrash ? fingerprint() : null);
    if (isCrash) {
      Crash crash = new Crash(failed.target().box().incarnation(), failed.hasHead());
      relay.quarantine().recordCrash(fingerprint(), crash);
    }
  }

  private RequestFingerprint fingerprint() {
    return reader.fingerprint(route == null ? "" : route.host(), account);
  }

  /** Ends the request; all its ends lead through here. */
  private void finish(RequestEnd end) {
    if (!isOver) {
      isOver = true;
      relay.counters().count("shoreroad.requests.ended", end.code());
      attempts.cancelAll();
      relay.remove(this);
      request.body().release();
      if (events != null) {
        events.release();
      }
    }
  }

  boolean isStream() {
    return route != null && route.kind() == RequestKind.STREAM;
  }

  /** Returns true if the request goes on without this attempt. */
  boolean canContinueWithout(Attempt failed) {
    return attempts.hasOther(failed) || canRepeat();
  }

  private boolean canRepeat() {
    return route != null && route.isRepeatable() && sends.hasLeft();
  }

  /** Returns the engines of its service as they run its model, or null if there are none. */
  @Nullable ModelEngine engine() {
    return engine;
  }

  long promptTokens() {
    return promptTokens;
  }

  String attemptId() {
    return reader.attemptId();
  }

  /** Returns how long a pass takes at an upstream by its engine's figures, 0 if it has none. */
  double passMs(UpstreamLoad load) {
    ModelEngine of = engine;
    return of == null ? 0 : of.passMs(load);
  }

  /** Returns the id of the upstream with this load, an empty text if it has not the request. */
  String upstreamIdAt(UpstreamLoad load) {
    Attempt at = attempts.findAt(load);
    return at == null ? "" : at.target().box().id();
  }

  /** Returns true if the caller has the head of a stream, so that no other answer can follow. */
  boolean hasBegun() {
    return events != null;
  }

  private long remainingMs() {
    long leftMs = TimeUnit.NANOSECONDS.toMillis(endNanos - relay.nowNanos());
    return Math.max(SMALLEST_DEADLINE_MS, leftMs);
  }
}
