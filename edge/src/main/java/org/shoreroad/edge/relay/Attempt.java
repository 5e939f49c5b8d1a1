package org.shoreroad.edge.relay;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.edge.caller.AnswerChannel;
import org.shoreroad.edge.http.CallFailure;
import org.shoreroad.edge.http.CallListener;
import org.shoreroad.edge.http.UpstreamCall;
import org.shoreroad.fleet.Incarnation;

/**
 * One attempt to get a request answered by one upstream; used on the event loop only.
 *
 * @since 0.2
 */
final class Attempt implements CallListener {
  /**
   * Time for which an upstream is skipped after it could not be reached, or after a different
   * upstream answered at its address.
   */
  private static final long AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /** Time for which an upstream is skipped after it answered that it is full. */
  private static final long AVOID_FULL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /**
   * Fill level from which an answer is sent on that could not be repeated anyway, so that the
   * others can be collected for longer.
   */
  private static final double UNREPEATABLE_FILL = 0.5;

  private final Exchange exchange;
  private final Relay relay;
  private final AnswerChannel answers;
  private final Target target;
  private final Incarnation upstream;
  private final RoomBroker.@Nullable Grant grant;
  private final long startedNanos;
  private final AnswerProgress progress = new AnswerProgress();
  private @Nullable UpstreamCall call;
  private @Nullable HttpResponse head;
  private @Nullable WholeAnswer whole;
  private @Nullable EventRelay events;
  private CallFailure.@Nullable Reason failureCause;
  private boolean hasTurn;
  private boolean isRecordedAsSent;
  private boolean isPromptRead;
  private long lastEventNanos;
  private boolean isAwaitingBuffer;
  private boolean isOver;

  /**
   * Creates an attempt that has not started.
   *
   * @param grant the grant of the room at the target, or null if there is none
   */
  Attempt(
      Exchange exchange,
      Relay relay,
      AnswerChannel answers,
      Target target,
      RoomBroker.@Nullable Grant grant,
      long startedNanos) {
    this.exchange = exchange;
    this.relay = relay;
    this.answers = answers;
    this.target = target;
    this.upstream = target.box().incarnation();
    this.grant = grant;
    this.startedNanos = startedNanos;
  }

  void start(int maxConnections) {
    hasTurn = relay.backpressure().isLimited(upstream) && takeTurn();
    target.load().add(exchange, exchange.promptTokens(), startedNanos);
    call =
        relay.calls().send(target.box(), exchange.toUpstreamRequest(target), maxConnections, this);
  }

  /**
   * Returns true if the grant and the upstream's limit, rest, coldness and zone still permit the
   * request. Checked again, since the upstream may have asked for fewer requests while the
   * connection was opened, or this process may have been suspended.
   */
  private boolean isStillPermitted() {
    if (grant != null && !grant.isInForce()) {
      relay.counters().count("shoreroad.room.unused", "expired");
      return false;
    }
    if (relay.backpressure().isEvacuated(target.box())) {
      relay.counters().count("shoreroad.attempts.to_evacuated", "withdrawn");
      return false;
    }
    if (relay.backpressure().isResting(upstream)) {
      relay.counters().count("shoreroad.attempts.to_resting", "withdrawn");
      return false;
    }
    return (hasTurn || takeTurn()) && confirmSend();
  }

  private boolean takeTurn() {
    return grant != null
        ? relay.backpressure().takeLimitTurn(upstream)
        : relay.backpressure().takeTurn(upstream);
  }

  private boolean confirmSend() {
    return grant != null
        ? relay.backpressure().confirmGranted(upstream)
        : relay.backpressure().confirmSend(upstream);
  }

  Target target() {
    return target;
  }

  boolean isSent() {
    return call != null && call.isSent();
  }

  /** Returns why the call failed, or null if it has not failed by itself. */
  CallFailure.@Nullable Reason failureCause() {
    return failureCause;
  }

  /** Returns true if the call failed since no process had a path to the upstream. */
  boolean isPathLost() {
    return failureCause == CallFailure.Reason.PATH_LOST;
  }

  /** Returns true if it is open on a connection of this process, which has lost the path. */
  boolean isOnLostPath() {
    return call != null && call.isDirect() && relay.calls().isPathLost(target.box());
  }

  /**
   * Returns the upstream, whether the request was sent, and the time since the last bytes that any
   * process has reported from there and since the last ones that this process has received.
   */
  String describe(long nowNanos) {
    UpstreamLoad load = target.load();
    return target.box().id()
        + (isSent() ? ":sent" : ":connecting")
        + ":silentMs="
        + TimeUnit.NANOSECONDS.toMillis(nowNanos - load.silentSinceNanos())
        + ":ownSilentMs="
        + TimeUnit.NANOSECONDS.toMillis(nowNanos - load.ownSilentSinceNanos());
  }

  /** Returns true once the upstream has begun to answer, which shows that it runs the request. */
  boolean hasHead() {
    return head != null;
  }

  /** Returns what has been received of the answer. */
  AnswerProgress progress() {
    return progress;
  }

  /**
   * Returns true if the answer states its own end. Without a length or chunks it ends with the
   * connection, as it does when the upstream crashes.
   */
  boolean isEndStated() {
    HttpResponse response = head;
    return response != null
        && (HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response));
  }

  void cancel() {
    if (!isOver) {
      end(isSent() ? GrantEnd.USED : GrantEnd.UNUSED);
      cancelCall();
    }
  }

  private void cancelCall() {
    if (call != null) {
      call.cancel();
    }
  }

  /** Pauses or resumes reading a stream because the caller reads too slowly or goes on. */
  void onWritabilityChanged(boolean isWritable) {
    if (exchange.isStream() && whole == null) {
      setReading(isWritable);
    } else if (isWritable) {
      resumeWithBuffer();
    }
  }

  private void setReading(boolean isReading) {
    if (call != null && !isOver) {
      call.setReading(isReading);
      target.load().setPaused(exchange, !isReading, relay.nowNanos());
      // The time of a pause is not the pace of the upstream.
      lastEventNanos = 0;
      progress.restart();
    }
  }

  /** Returns true while the answer is not read, since its buffer is full. */
  boolean isAwaitingBuffer() {
    return isAwaitingBuffer;
  }

  /** Resumes reading the answer if its buffer was full and is not any more. */
  void resumeWithBuffer() {
    if (isAwaitingBuffer && answers.bufferFill() <= 1) {
      isAwaitingBuffer = false;
      setReading(true);
    }
  }

  @Override
  public boolean onSending() {
    if (!exchange.maySendNow() || !isStillPermitted()) {
      return false;
    }
    exchange.onSent(target);
    isRecordedAsSent = true;
    return true;
  }

  @Override
  public boolean onHead(HttpResponse response) {
    if (relay.headers().isOfOtherRequest(response, exchange.attemptId())) {
      relay.counters().count("shoreroad.answers.passed_over", "other_request");
      return false;
    }
    head = response;
    progress.recordHead(relay.nowNanos());
    boolean isSealed = response.headers().contains(relay.headers().seal());
    if (!isMisdirected(response)) {
      relay.backpressure().recordAnswer(upstream, response, startedNanos);
    }
    target.load().recordProgress(relay.nowNanos());
    if (isRefusal(response)) {
      return true;
    }
    boolean isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS;
    if (isSuccess && !isSealed) {
      fail(AttemptFailure.BROKEN);
      return true;
    }
    if (isSuccess && exchange.isStream()) {
      recordPromptRead();
      events = exchange.onStreamHead(this, response);
      events.restart();
    } else {
      whole = new WholeAnswer(answers, response);
    }
    return true;
  }

  private boolean isRefusal(HttpResponse response) {
    return response.headers().contains(relay.headers().notRun()) || isMisdirected(response);
  }

  /** Returns true if a different upstream than the intended one has answered. */
  private static boolean isMisdirected(HttpResponse response) {
    return response.status().equals(HttpResponseStatus.MISDIRECTED_REQUEST);
  }

  @Override
  public void onContent(ByteBuf content) {
    long nowNanos = relay.nowNanos();
    progress.recordBytes(content.readableBytes());
    if (events != null) {
      addToStream(events, content, nowNanos);
      return;
    }
    recordPiece(nowNanos);
    if (whole != null) {
      whole.add(content);
      limitBuffer(whole);
    }
    checkIgnoredBody(nowNanos);
  }

  /** Adds bytes to a stream. Only the end of an event is progress: other bytes may be no answer. */
  private void addToStream(EventRelay relayed, ByteBuf content, long nowNanos) {
    long completed = relayed.completedCount();
    boolean isAccepted = relayed.add(content);
    if (relayed.completedCount() > completed) {
      recordPiece(nowNanos);
      exchange.onProgress(this);
      recordPace(nowNanos);
    }
    if (!isAccepted) {
      fail(AttemptFailure.BROKEN);
    } else if (!answers.isWritable()) {
      // Also an attempt that began while the caller did not read.
      setReading(false);
    }
  }

  private void recordPiece(long nowNanos) {
    target.load().recordProgress(nowNanos);
    progress.recordPiece(nowNanos);
  }

  /** Returns true if the body of the answer is not forwarded, so that only its end matters. */
  boolean hasIgnoredBody() {
    HttpResponse response = head;
    if (isOver || response == null) {
      return false;
    }
    WholeAnswer answer = whole;
    return isRefusal(response) || (answer != null && !answer.isBegun() && isNotForwarded(answer));
  }

  /**
   * Ends the attempt, and closes its connection, if the body of an answer that is not forwarded is
   * too long or goes on for too long.
   */
  void checkIgnoredBody(long nowNanos) {
    HttpResponse response = head;
    if (response == null || !progress.isTooLongToIgnore(nowNanos) || !hasIgnoredBody()) {
      return;
    }
    relay.counters().count("shoreroad.attempts.endless", "body");
    if (isRefusal(response)) {
      cancelCall();
      endRefused(response);
    } else {
      fail(AttemptFailure.FAILED);
    }
  }

  private void endRefused(HttpResponse response) {
    long avoidNanos = isMisdirected(response) ? AVOID_NANOS : AVOID_FULL_NANOS;
    target.load().avoidUntil(relay.nowNanos() + avoidNanos);
    end(isMisdirected(response) ? GrantEnd.UNUSED : GrantEnd.REJECTED);
    exchange.onAttemptFailed(this, AttemptFailure.REFUSED);
  }

  /** Sends an answer on whose buffer is full, and pauses it while the buffer is still full. */
  private void limitBuffer(WholeAnswer answer) {
    double maxFill = exchange.isRepeatable() ? 1 : UNREPEATABLE_FILL;
    if (!answer.isBegun() && answers.bufferFill() > maxFill) {
      if (isNotForwarded(answer)) {
        fail(AttemptFailure.FAILED);
        return;
      }
      exchange.onWholeAnswerBegun(this);
      answer.begin();
    }
    if (answer.isBegun() && !isAwaitingBuffer && answers.bufferFill() > 1) {
      isAwaitingBuffer = true;
      setReading(false);
      exchange.awaitBuffer();
    }
  }

  /** Returns true if the request fails or is repeated rather than answered with this answer. */
  private boolean isNotForwarded(WholeAnswer answer) {
    return exchange.hasBegun()
        || (answer.isOfClass(HttpStatusClass.SERVER_ERROR) && exchange.canContinueWithout(this));
  }

  private void recordPace(long nowNanos) {
    if (lastEventNanos != 0) {
      double passMs = exchange.passMs(target.load());
      target.load().pace().record(nowNanos - lastEventNanos, passMs, nowNanos);
    }
    lastEventNanos = nowNanos;
  }

  @Override
  public void onEnd() {
    HttpResponse response = head;
    if (isOver || response == null) {
      return;
    }
    if (isRefusal(response)) {
      endRefused(response);
    } else if (events != null) {
      endStream(events);
    } else if (whole != null) {
      endWholeAnswer(whole);
    }
  }

  private void endStream(EventRelay relayed) {
    if (relayed.hasPartialEvent()) {
      fail(isEndStated() ? AttemptFailure.BROKEN : AttemptFailure.DISCONNECTED);
      return;
    }
    target.load().recordOutcome(false);
    end(GrantEnd.USED);
    exchange.onStreamEnd(this);
  }

  private void endWholeAnswer(WholeAnswer answer) {
    if (answer.isBegun() && !answer.isOfStatedLength()) {
      fail(AttemptFailure.BROKEN);
      return;
    }
    boolean hasFailed = answer.isOfClass(HttpStatusClass.SERVER_ERROR);
    target.load().recordOutcome(hasFailed);
    if (!answer.isBegun() && isNotForwarded(answer)) {
      end(GrantEnd.FAILED);
      exchange.onAttemptFailed(this, AttemptFailure.FAILED);
      return;
    }
    whole = null;
    end(hasFailed ? GrantEnd.FAILED : GrantEnd.USED);
    exchange.onWholeAnswer(this, answer);
  }

  @Override
  public void onFailure(CallFailure failure) {
    if (isOver) {
      return;
    }
    failureCause = failure.reason();
    if (!failure.isSent()) {
      relay.counters().count("shoreroad.attempts.not_sent", failure.reason().code());
      if (isRecordedAsSent) {
        exchange.onNotSent(target);
      }
      if (failure.reason() == CallFailure.Reason.REFUSED) {
        relay.crashMonitor().checkIfSuspected(target.box());
      }
      if (!isPathLost() && failure.reason() != CallFailure.Reason.WITHDRAWN) {
        target.load().avoidUntil(relay.nowNanos() + AVOID_NANOS);
      }
      end(GrantEnd.UNUSED);
      exchange.onAttemptFailed(this, AttemptFailure.NOT_SENT);
      return;
    }
    if (failure.reason() != CallFailure.Reason.FORWARDER_LOST) {
      target.load().recordOutcome(true);
    }
    end(GrantEnd.FAILED);
    boolean isDisconnected = failure.reason() == CallFailure.Reason.BROKEN;
    exchange.onAttemptFailed(
        this, isDisconnected ? AttemptFailure.DISCONNECTED : AttemptFailure.BROKEN);
  }

  private void fail(AttemptFailure failure) {
    target.load().recordOutcome(true);
    if (!isOver) {
      end(GrantEnd.FAILED);
      cancelCall();
    }
    exchange.onAttemptFailed(this, failure);
  }

  private void recordPromptRead() {
    if (!isPromptRead) {
      isPromptRead = true;
      target.load().recordPromptRead(exchange.promptTokens());
    }
  }

  private void end(GrantEnd grantEnd) {
    isOver = true;
    if (isPromptRead) {
      target.load().removeDecoding(exchange);
    } else {
      target.load().removeWaiting(exchange, exchange.promptTokens());
    }
    if (whole != null) {
      whole.release();
    }
    if (grant != null) {
      grant.end(grantEnd);
    }
  }
}
