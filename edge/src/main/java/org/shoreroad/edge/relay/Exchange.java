package org.shoreroad.edge.relay;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.admission.RoomDecision;
import org.shoreroad.edge.caller.AnswerChannel;
import org.shoreroad.edge.caller.CallerExchange;
import org.shoreroad.edge.caller.CallerRequest;
import org.shoreroad.quarantine.PromptPart;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.RequestKind;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.UpstreamService;

/**
 * One request from its arrival to its last byte: admission, attempts, resumption, answer.
 *
 * <p>A request that may not be repeated is sent again only if the former upstream itself answered
 * that it did not run it, or if no byte of it had left this process. Used on the event loop only.
 *
 * @since 0.2
 */
final class Exchange implements CallerExchange {
  private final Relay relay;
  private final CallerRequest request;
  private final AnswerChannel answers;
  private final SendHistory sends = new SendHistory();
  private final OpenAttempts attempts = new OpenAttempts();
  private final RequestReader reader;
  private final RequestGuard guard;
  private final RepeatRule repeats;
  private final RequestDeadline deadline = new RequestDeadline();
  private final ExchangeLog log;
  private final FailureRecorder failures;
  private final RequestTraffic traffic;
  private final String model;
  private final long promptTokens;
  private RequestTargets targets;
  private @Nullable Dispatch dispatch;
  private @Nullable Route route;
  private @Nullable UpstreamService service;
  private @Nullable ModelEngine engine;
  private @Nullable ClientAccount account;
  private @Nullable EventRelay events;
  private boolean isOver;

  Exchange(Relay relay, CallerRequest request, AnswerChannel answers) {
    this.relay = relay;
    this.request = request;
    this.answers = answers;
    this.reader = new RequestReader(request, relay.headers());
    this.guard = new RequestGuard(relay, reader, sends);
    this.repeats = new RepeatRule(relay, sends);
    this.log = new ExchangeLog(relay, request, reader, sends);
    this.failures = new FailureRecorder(relay, log, guard);
    this.model = reader.model();
    this.promptTokens = reader.promptTokens();
    this.traffic = new RequestTraffic(relay, request, model, promptTokens);
    this.targets = new RequestTargets(relay.selector(), null, model, sends, 0);
  }

  /** Admits the request and sends it, or refuses it at once. */
  void start() {
    if (relay.isRefusingNew()) {
      refuse(Refusal.STOPPING, RetryAfter.AT_ONCE);
      return;
    }
    Admission admission =
        Admission.of(
            relay.configurationSource(),
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
    deadline.set(request.arrivedNanos(), Math.min(reader.deadlineMs(), found.timeoutMs()));
    repeats.admit(found, service);
    dispatch = new Dispatch(this, relay, targets, sends, engine, request.arrivedNanos());
    sends.setMaxAttempts(found.maxAttempts());
    if (!guard.admit(found, service, account)) {
      refuse(guard.refusal(), RetryAfter.QUARANTINE);
      return;
    }
    traffic.recordArrival(service, found);
    if (!isStream() && !answers.reserveBuffer(relay.answerSizes().expectedBytes(found.name()))) {
      refuse(Refusal.MEMORY_FULL, RetryAfter.MEMORY);
      return;
    }
    send();
  }

  /** Returns true if there is no key, or if a revocation of it would be known here by now. */
  private boolean mayUseKey() {
    return account == null || relay.configurationSource().mayTrustKeys();
  }

  /**
   * Sends the request to an upstream, lets it wait for one, or refuses it.
   *
   * <p>All attempts start here: the first, repeats, resumed streams, second attempts beside a
   * silent one. Their number is bounded only within one try of the caller. A request that crashes
   * its upstreams is stopped by the quarantine, which counts over all tries and processes.
   */
  void send() {
    if (!guard.maySend()) {
      refuseOrFail(guard.refusal(), RetryAfter.QUARANTINE);
    } else if (dispatch != null) {
      dispatch.next(guard.isUndecided());
    }
  }

  /** Records which parts of the prompt an upstream has been answering for some time. */
  void recordWriting(Set<PromptPart> beingWritten) {
    guard.recordWriting(attempts, beingWritten);
  }

  /** Starts an attempt at an upstream, under the grant of its room or without one. */
  void startAttempt(Target target, RoomBroker.@Nullable Grant grant) {
    Attempt next = new Attempt(this, relay, answers, target, grant, relay.nowNanos());
    attempts.add(next);
    next.start(relay.maxConnections(Objects.requireNonNull(service, "service")));
  }

  /** Returns the request for room, for an admitted request to an engine. */
  RoomBroker.Query roomQuery(Set<String> excludedHeads) {
    return reader.toRoomQuery(
        Objects.requireNonNull(service, "service"),
        Objects.requireNonNull(route, "route"),
        account,
        deadline.endNanos(),
        excludedHeads);
  }

  /** Refuses the request because the owners of all heads that were asked have no room. */
  void refuseRoom(RoomDecision decision) {
    String retryAfter = RetryAfter.headerValue(decision.retryAfterMs(), relay.random());
    refuse(Refusal.NO_PLACE, retryAfter, String.valueOf(decision.refusal()));
  }

  /** Checks the deadline, and tries again to send a waiting request. */
  void onTick() {
    if (isOver) {
      return;
    }
    if (deadline.isPaused()) {
      checkBuffer();
    }
    if (route != null && deadline.isPassed(relay.nowNanos())) {
      endAtDeadline();
      return;
    }
    attempts.checkIgnoredBodies(relay.nowNanos());
    if (!isOver && dispatch != null) {
      dispatch.tick();
    }
  }

  /** Checks regularly whether the answer, which is paused now, may be read again. */
  void awaitBuffer() {
    deadline.pause(relay.nowNanos());
    relay.addWaiting(this);
  }

  private void checkBuffer() {
    if (!attempts.resumeWithBuffer()) {
      relay.addWaiting(this);
    } else {
      deadline.resume(relay.nowNanos());
    }
  }

  private void endAtDeadline() {
    if (hasBegun()) {
      if (isStream()) {
        relay.counters().count("shoreroad.streams.cut", "time");
      }
      abort("time", RequestEnd.TIMED_OUT);
    } else {
      boolean isSent = sends.mayHaveRun() || attempts.isAnySent();
      refuse(isSent ? Refusal.NOT_ANSWERED_IN_TIME : Refusal.NOT_SENT_IN_TIME, RetryAfter.PLACE);
    }
  }

  FullHttpRequest toUpstreamRequest(Target target) {
    EventRelay relayed = events;
    Route current = route;
    boolean isRanked = target.box().domain() != null && current != null;
    return reader.toUpstreamRequest(
        target.box().id(),
        deadline.remainingMs(relay.nowNanos()),
        account,
        isRanked && current != null ? RequestReader.rank(current, account) : RequestReader.NO_RANK,
        relayed == null ? -1 : relayed.lastId());
  }

  /** Returns true if the request may be sent; called right before the first byte is sent. */
  boolean maySendNow() {
    return !isOver && mayUseKey() && guard.maySendNow() && !deadline.isPassed(relay.nowNanos());
  }

  /** Records that a byte may have been sent to an upstream. */
  void onSent(Target target) {
    sends.recordSent(target.box().id());
  }

  /** Takes back {@link #onSent}, since nothing has reached the upstream after all. */
  void onNotSent(Target target) {
    sends.recordNotSent(target.box().id());
  }

  /** Begins the answer with a stream's head if it is the first; returns the relay for its body. */
  EventRelay onStreamHead(Attempt answering, HttpResponse head) {
    onProgress(answering);
    EventRelay relayed = events;
    if (relayed == null) {
      relayed =
          new EventRelay(answers, relay::nowNanos, request.arrivedNanos(), reader.lastEventId());
      events = relayed;
      traffic.recordFirstHead();
      answers.begin(head.status(), HopByHopHeaders.copyWithout(head.headers()));
    }
    return relayed;
  }

  /** Cancels the other attempts, which are not needed once an upstream answers. */
  void onProgress(Attempt answering) {
    boolean isNewest = answering == attempts.newest();
    if (attempts.keepOnly(answering)) {
      relay.counters().count("shoreroad.attempts.moved", isNewest ? "answered" : "needless");
    }
  }

  /** Completes the answer after its upstream has ended one that is no stream. */
  void onWholeAnswer(Attempt answering, WholeAnswer answer) {
    traffic.recordWholeAnswer(answer);
    guard.recordAnswer(answering, answer.isOfClass(HttpStatusClass.SUCCESS));
    finish(RequestEnd.ANSWERED);
    answer.complete();
  }

  /** Called before an incomplete answer is sent on, after which no other one can be sent. */
  void onWholeAnswerBegun(Attempt answering) {
    onProgress(answering);
    repeats.forbid();
    relay.counters().count("shoreroad.answers.sent_early", "memory");
  }

  /** Ends the answer after its upstream has ended the stream. */
  void onStreamEnd(Attempt answering) {
    relay.counters().count("shoreroad.answers", "stream");
    if (events != null) {
      log.writeIfLate(events.timing());
    }
    guard.recordAnswer(answering, true);
    finish(RequestEnd.ANSWERED);
    answers.end();
  }

  /** Repeats the request or ends it after an attempt brought no answer that can be forwarded. */
  void onAttemptFailed(Attempt failed, AttemptFailure failure) {
    if (failure != AttemptFailure.NOT_SENT && failure != AttemptFailure.REFUSED) {
      // Before the failure is recorded, which may quarantine this request and answer it.
      sends.recordMayHaveRun();
    }
    boolean isNewest = failed == attempts.newest();
    attempts.remove(failed);
    failures.record(failed, failure);
    if (isOver || !isNewest) {
      return;
    }
    if (failure == AttemptFailure.NOT_SENT) {
      if (failed.isPathLost()) {
        sends.recordPathLost();
      } else {
        sends.recordUnsent(failed.target().box().id());
      }
      retryUnsent();
    } else if (mayRepeatAfter(failure)) {
      relay.counters().count("shoreroad.retries", failure.code());
      send();
    } else if (hasBegun() && attempts.isEmpty()) {
      abort(failure.name(), RequestEnd.CUT);
    } else {
      refuseOrFail(
          failure == AttemptFailure.REFUSED ? Refusal.UPSTREAM_REFUSED : Refusal.UPSTREAM_FAILED,
          RetryAfter.PLACE);
    }
  }

  private boolean mayRepeatAfter(AttemptFailure failure) {
    // While an earlier attempt is open, a repeat is useful only if it can be sent now.
    return repeats.canRepeatAfter(failure)
        && guard.maySend()
        && (attempts.isEmpty() || targets.isAnyFree())
        && repeats.takeFromBudget();
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

  /**
   * Sends the request to another upstream as well, because the one with this load has stalled.
   *
   * @return true if it could not be sent now but may be sent soon
   */
  boolean onStall(UpstreamLoad stalled) {
    Attempt newest = attempts.newest();
    if (newest == null || newest.target().load() != stalled || !repeats.canRepeat()) {
      return false;
    }
    if (!newest.isSent() || !guard.maySend() || !targets.isAnyFree() || !repeats.takeFromBudget()) {
      return true;
    }
    failures.record(newest, AttemptFailure.STALLED);
    sends.recordMayHaveRun();
    relay.counters().count("shoreroad.retries", AttemptFailure.STALLED.code());
    send();
    return false;
  }

  /**
   * Ends the request if a quarantine that has just begun forbids it and no upstream has begun to
   * answer it. An upstream at which it still waits would crash too.
   */
  void onQuarantined() {
    if (isOver || !guard.isEnded()) {
      return;
    }
    if (attempts.isAnySent()) {
      sends.recordMayHaveRun();
    }
    attempts.cancelUnanswered();
    refuseOrFail(guard.refusal(), RetryAfter.QUARANTINE);
  }

  @Override
  public void onCallerGone() {
    if (!isOver) {
      relay.counters().count("shoreroad.callers.gone", hasBegun() ? "midway" : "before");
      log.write(
          "caller_gone", "hasBegun", hasBegun(), "awaited", attempts.describe(relay.nowNanos()));
      finish(RequestEnd.CALLER_GONE);
    }
  }

  void onProcessEnd() {
    log.write("request_unanswered", "hasBegun", hasBegun());
    finish(RequestEnd.PROCESS_ENDED);
  }

  @Override
  public void onWritabilityChanged(boolean isWritable) {
    attempts.onWritabilityChanged(isWritable);
  }

  /** Refuses the request or cuts its answer, unless an upstream still has the request. */
  void refuseOrFail(Refusal refusal, RetryAfter retryAfter) {
    if (!attempts.isEmpty()) {
      return;
    }
    if (hasBegun()) {
      abort(refusal.code(), RequestEnd.CUT);
      return;
    }
    boolean isPromiseFalse = refusal.promisesNotRun() && sends.mayHaveRun();
    refuse(isPromiseFalse ? Refusal.UPSTREAM_FAILED : refusal, retryAfter);
  }

  private void refuse(Refusal refusal, RetryAfter retryAfter) {
    String why = refusal == Refusal.PART_QUARANTINED ? guard.describeParts() : "";
    refuse(refusal, retryAfter.headerValue(relay.random()), why);
  }

  private void refuse(Refusal refusal, String retryAfterSeconds, String why) {
    String candidates = refusal.isForWantOfRoom() ? targets.describe() : "";
    log.writeRefusal(refusal, why, candidates, attempts.describe(relay.nowNanos()));
    traffic.recordRefusal(refusal);
    finish(refusal.end());
    answers.answer(refusal.status(), refusal.headers(retryAfterSeconds), Unpooled.EMPTY_BUFFER);
  }

  private void abort(String reason, RequestEnd end) {
    log.writeCut(reason, events, deadline.endNanos());
    relay.counters().count("shoreroad.answers.cut", reason);
    finish(end);
    answers.abort();
  }

  /** Ends the request; called for each way in which a request can end. */
  private void finish(RequestEnd end) {
    if (!isOver) {
      isOver = true;
      relay.counters().count("shoreroad.requests.ended", end.code());
      if (end == RequestEnd.TIMED_OUT || end == RequestEnd.CALLER_GONE) {
        failures.recordUnanswered(attempts);
      }
      attempts.cancelAll();
      if (dispatch != null) {
        dispatch.end();
      }
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

  /** Returns true if the request can continue without this attempt. */
  boolean canContinueWithout(Attempt failed) {
    return attempts.hasOther(failed) || repeats.canRepeat();
  }

  /** Returns true if the route permits that the request runs more than once. */
  boolean isRepeatable() {
    return repeats.isRepeatable();
  }

  /** Returns the engines of the service as they run the model, or null if there are none. */
  @Nullable ModelEngine engine() {
    return engine;
  }

  long promptTokens() {
    return promptTokens;
  }

  String attemptId() {
    return reader.attemptId();
  }

  /** Returns the time of a pass by the engine's figures, in milliseconds, 0 without an engine. */
  double passMs(UpstreamLoad load) {
    ModelEngine modelEngine = engine;
    return modelEngine == null ? 0 : modelEngine.passMs(load);
  }

  /** Returns the attempt at the upstream with this load, or null if there is none. */
  @Nullable Attempt attemptAt(UpstreamLoad load) {
    return attempts.findAt(load);
  }

  /** Returns true if an upstream has the request, or is about to. */
  boolean hasAttempts() {
    return !attempts.isEmpty();
  }

  /** Returns true if an answer's head was sent to the caller, so that no other one can follow. */
  boolean hasBegun() {
    return events != null || repeats.isForbidden();
  }
}
