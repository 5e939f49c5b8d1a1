package org.shoreroad.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.daemon.intent.IntentClient;
import org.shoreroad.daemon.request.AnswerSink;
import org.shoreroad.daemon.request.Submission;
import org.shoreroad.state.Generation;
import org.shoreroad.state.Node;

/**
 * One chat request at the gateway: the choice of a generation, the retries and the answer.
 *
 * <p>This is the only layer that retries. A request is sent again if it is known not to have run,
 * or if its kind may be repeated and no part of the answer was sent to the caller yet; both count
 * against the client account's retry budget. If the owner of a stream is lost, the stream is
 * resumed at the next owner after the last received event. Thread-safe.
 */
final class ChatExchange implements AnswerSink {
  /** Failures of one attempt after which another replica may accept the request. */
  private static final Set<ErrorCode> RETRYABLE_ELSEWHERE =
      Set.of(
          ErrorCode.NO_REPLICA,
          ErrorCode.NOT_OWNER,
          ErrorCode.OWNER_UNREACHABLE,
          ErrorCode.OUT_OF_CONTACT,
          ErrorCode.STOPPING,
          ErrorCode.QUEUE_FULL,
          ErrorCode.UPSTREAM_REFUSED,
          ErrorCode.UPSTREAM_UNREACHABLE);

  /** Failures of an attempt after it was sent to an owner or its replica. */
  private static final Set<ErrorCode> FAILED_AFTER_SENDING =
      Set.of(ErrorCode.OWNER_LOST, ErrorCode.UPSTREAM_FAILED, ErrorCode.REPLICA_LOST);

  private static final int MAX_ATTEMPTS = 4;
  private static final long RESUME_RETRY_INTERVAL_MS = 50;
  private static final long RESUME_TIMEOUT_MS = 5_000;
  private static final long NO_REPLICA_RETRY_MS = 2_000;

  private final GatewayContext context;
  private final ChatRequest request;
  private final CallerAnswer answer;
  private final IntentClient.@Nullable Claim claim;
  private final Runnable onFinished;
  private final ByteArrayOutputStream answerBody = new ByteArrayOutputStream();
  private int attempts;
  private long received;
  private long firstChunkNanos;
  private long sentNanos;
  private @Nullable Node sentTo;
  private long generation;
  private boolean isFinished;
  private boolean mayHaveRun;
  private String lostOwnerId = "";
  private long resumeUntilNanos;

  ChatExchange(
      GatewayContext context,
      ChatRequest request,
      CallerAnswer answer,
      IntentClient.@Nullable Claim claim,
      Runnable onFinished) {
    this.context = context;
    this.request = request;
    this.answer = answer;
    this.claim = claim;
    this.onFinished = onFinished;
  }

  /** Makes the first attempt. */
  synchronized void start() {
    context.upstreams().budget(account(), request.chat().model()).recordAttempt();
    send();
  }

  /** Cancels the request, since the caller has disconnected. */
  void abandon() {
    Node to;
    synchronized (this) {
      if (isFinished) {
        return;
      }
      isFinished = true;
      to = sentTo;
      context.upstreams().cancel(upstream(), System.nanoTime());
    }
    cancelAtOwner(to);
    context.metrics().countRefusal(ErrorCode.CALLER_GONE, Verdict.MAY_HAVE_RUN);
    context.trace().add(request.requestId(), "the caller has disconnected");
    onFinished.run();
  }

  private void cancelAtOwner(@Nullable Node owner) {
    if (owner != null) {
      context.link().cancel(owner, submission().requestId());
    }
  }

  @Override
  public synchronized void onChunk(long sequence, byte[] bytes) {
    if (isFinished || sequence < received) {
      return;
    }
    if (sequence > received) {
      cancelAtOwner(sentTo);
      finishFailed(
          ShoreroadException.of(
              ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "a chunk of the answer is missing", 0));
      return;
    }
    if (received == 0) {
      firstChunkNanos = System.nanoTime();
    }
    received++;
    if (request.chat().isStreaming()) {
      answer.sendEvent(bytes);
    } else {
      answerBody.writeBytes(bytes);
    }
  }

  @Override
  public synchronized void onEnd() {
    if (isFinished) {
      return;
    }
    isFinished = true;
    long now = System.nanoTime();
    context.upstreams().succeed(upstream(), firstChunkNanos - sentNanos, now);
    if (request.chat().isStreaming()) {
      answer.endEvents();
    } else {
      answer.sendComplete(200, "application/json", answerBody.toByteArray());
    }
    String kind = request.caller().kind().name();
    context
        .metrics()
        .record("shoreroad.gateway.first.token", kind, firstChunkNanos - arrivedNanos());
    context.metrics().record("shoreroad.gateway.request", kind, now - arrivedNanos());
    context
        .metrics()
        .add(
            "shoreroad.gateway.service.units",
            "account",
            account(),
            request.caller().kind().costWeight());
    context.trace().add(request.requestId(), "answered completely");
    if (claim != null) {
      context.intents().finish(claim);
    }
    onFinished.run();
  }

  @Override
  public synchronized void onFailure(ShoreroadException failure) {
    if (isFinished) {
      return;
    }
    long now = System.nanoTime();
    if (failure.code() == ErrorCode.QUEUE_FULL || failure.code() == ErrorCode.DEADLINE_PASSED) {
      context.upstreams().cancel(upstream(), now);
    } else {
      context.upstreams().fail(upstream(), now);
    }
    context.trace().add(request.requestId(), failure.code() + " " + failure.verdict());
    mayHaveRun |= failure.verdict() != Verdict.NOT_RUN;
    if (failure.code() == ErrorCode.OWNER_LOST && received > 0) {
      Node lost = sentTo;
      lostOwnerId = lost == null ? "" : lost.id();
      resumeUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(RESUME_TIMEOUT_MS);
      resumeAtNewOwner(failure);
    } else if (isResuming() && RETRYABLE_ELSEWHERE.contains(failure.code())) {
      resumeLater(failure);
    } else if (isRepeatable(failure) && attempts < MAX_ATTEMPTS && isWithinDeadline(now)) {
      repeat(failure);
    } else {
      finishFailed(failure);
    }
  }

  /**
   * Returns true if the request may be run again from its beginning.
   *
   * <p>The verdicts of all attempts decide, not only that of the last failure: if a resume is
   * refused with the verdict "not run", the run that it should have resumed may still have run.
   */
  private boolean isRepeatable(ShoreroadException failure) {
    if (received > 0) {
      return false;
    }
    if (!mayHaveRun) {
      return RETRYABLE_ELSEWHERE.contains(failure.code());
    }
    boolean isTransient =
        FAILED_AFTER_SENDING.contains(failure.code())
            || RETRYABLE_ELSEWHERE.contains(failure.code());
    return isTransient && request.caller().kind().isRepeatable();
  }

  private void repeat(ShoreroadException failure) {
    if (!context.upstreams().budget(account(), request.chat().model()).tryRetry()) {
      context.metrics().count("shoreroad.gateway.retry.budget.empty");
      finishFailed(failure);
      return;
    }
    context.metrics().countRetry(failure.code().toString());
    send();
  }

  private boolean isResuming() {
    return !lostOwnerId.isEmpty();
  }

  /** Resumes at the generation's new owner, or retries this until the resume time limit. */
  private void resumeAtNewOwner(ShoreroadException failure) {
    Optional<Node> owner = context.owner().owners().owner(generation);
    if (owner.isPresent() && !owner.get().id().equals(lostOwnerId)) {
      context.metrics().countRetry("owner_lost_resumed");
      sendTo(owner.get(), submission().withResumeAfter(received));
    } else {
      resumeLater(failure);
    }
  }

  private void resumeLater(ShoreroadException failure) {
    if (resumeUntilNanos - System.nanoTime() <= 0) {
      finishFailed(failure);
      return;
    }
    context
        .timer()
        .schedule(
            () -> {
              synchronized (this) {
                if (!isFinished) {
                  resumeAtNewOwner(failure);
                }
              }
            },
            RESUME_RETRY_INTERVAL_MS,
            TimeUnit.MILLISECONDS);
  }

  private void send() {
    attempts++;
    long now = System.nanoTime();
    List<String> candidates =
        context.control().state().standingGenerations(request.chat().model()).stream()
            .map(Generation::number)
            .filter(number -> context.owner().owners().owner(number).isPresent())
            .map(String::valueOf)
            .toList();
    Optional<String> chosen =
        context.upstreams().choose(candidates, request.chat().prefixKey(), now);
    if (chosen.isEmpty()) {
      long jitterMs = ThreadLocalRandom.current().nextLong(NO_REPLICA_RETRY_MS);
      finishFailed(
          ShoreroadException.notRun(
              ErrorCode.NO_REPLICA,
              "the model has no ready replica at present",
              NO_REPLICA_RETRY_MS + jitterMs));
      return;
    }
    generation = Long.parseLong(chosen.get());
    context
        .owner()
        .owners()
        .owner(generation)
        .ifPresentOrElse(node -> sendTo(node, submission()), () -> onFailure(ownerUnknown()));
  }

  private static ShoreroadException ownerUnknown() {
    return ShoreroadException.notRun(ErrorCode.NOT_OWNER, "the owner of the replica is unknown", 1);
  }

  private void sendTo(Node to, Submission submission) {
    sentTo = to;
    sentNanos = System.nanoTime();
    context.upstreams().start(upstream(), sentNanos);
    context
        .trace()
        .add(request.requestId(), "sent to generation " + generation + " at owner " + to.id());
    context.link().submit(to, submission, this);
  }

  private Submission submission() {
    long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedNanos());
    return request.toSubmission(
        attempts, generation, Math.max(1, request.caller().kind().deadlineMs() - waitedMs));
  }

  private boolean isWithinDeadline(long nowNanos) {
    return nowNanos - arrivedNanos()
        < TimeUnit.MILLISECONDS.toNanos(request.caller().kind().deadlineMs());
  }

  private void finishFailed(ShoreroadException last) {
    isFinished = true;
    ShoreroadException failure = withVerdictOfAllAttempts(last);
    context.metrics().countRefusal(failure.code(), failure.verdict());
    context.trace().add(request.requestId(), "answered " + failure.code());
    answer.fail(failure);
    if (claim != null && failure.verdict() == Verdict.NOT_RUN) {
      context.intents().withdraw(claim);
    }
    onFinished.run();
  }

  /** Returns the failure with the verdict "may have run" if any attempt may have run. */
  private ShoreroadException withVerdictOfAllAttempts(ShoreroadException last) {
    return mayHaveRun && last.verdict() == Verdict.NOT_RUN
        ? ShoreroadException.of(
            last.code(),
            Verdict.MAY_HAVE_RUN,
            String.valueOf(last.getMessage()),
            last.retryAfterMs())
        : last;
  }

  private String account() {
    return request.caller().account().name();
  }

  private String upstream() {
    return Long.toString(generation);
  }

  private long arrivedNanos() {
    return request.arrivedNanos();
  }
}
