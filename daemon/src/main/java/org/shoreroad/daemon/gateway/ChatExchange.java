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
 * One chat request at the gateway: where it is sent, what is tried again, how it ends.
 *
 * <p>This is the only layer that retries. A request is sent again if it is known not to have run,
 * or if its kind may be repeated and the caller has seen nothing of the answer yet; both out of the
 * client account's budget. A stream that broke with its owner is taken up at the next owner where
 * it broke. Thread-safe.
 */
final class ChatExchange implements AnswerSink {
  private static final Set<ErrorCode> ELSEWHERE =
      Set.of(
          ErrorCode.NO_REPLICA,
          ErrorCode.NOT_OWNER,
          ErrorCode.OWNER_UNREACHABLE,
          ErrorCode.OUT_OF_CONTACT,
          ErrorCode.STOPPING,
          ErrorCode.QUEUE_FULL,
          ErrorCode.UPSTREAM_REFUSED,
          ErrorCode.UPSTREAM_UNREACHABLE);
  private static final Set<ErrorCode> BROKEN =
      Set.of(ErrorCode.OWNER_LOST, ErrorCode.UPSTREAM_FAILED, ErrorCode.REPLICA_LOST);
  private static final int MAX_ATTEMPTS = 4;
  private static final long RESUME_STEP_MS = 50;
  private static final long RESUME_LIMIT_MS = 5_000;
  private static final long NO_REPLICA_RETRY_MS = 2_000;

  private final GatewayContext parts;
  private final ChatRequest request;
  private final CallerAnswer answer;
  private final IntentClient.@Nullable Claim claim;
  private final Runnable onOver;
  private final ByteArrayOutputStream whole = new ByteArrayOutputStream();
  private int attempts;
  private long received;
  private long firstChunkNanos;
  private long sentNanos;
  private @Nullable Node sentTo;
  private long generation;
  private boolean isOver;
  private boolean mayHaveRun;
  private String lostOwnerId = "";
  private long resumeUntilNanos;

  ChatExchange(
      GatewayContext parts,
      ChatRequest request,
      CallerAnswer answer,
      IntentClient.@Nullable Claim claim,
      Runnable onOver) {
    this.parts = parts;
    this.request = request;
    this.answer = answer;
    this.claim = claim;
    this.onOver = onOver;
  }

  /** Sends the request for the first time. */
  synchronized void start() {
    parts.upstreams().budget(account(), request.chat().model()).recordAttempt();
    send();
  }

  /** Gives the request up, since the caller has gone. */
  void abandon() {
    Node to;
    synchronized (this) {
      if (isOver) {
        return;
      }
      isOver = true;
      to = sentTo;
      parts.upstreams().cancel(upstream(), System.nanoTime());
    }
    cancelAtOwner(to);
    parts.metrics().countRefusal(ErrorCode.CALLER_GONE, Verdict.MAY_HAVE_RUN);
    parts.trace().add(request.requestId(), "the caller has gone");
    onOver.run();
  }

  private void cancelAtOwner(@Nullable Node owner) {
    if (owner != null) {
      parts.link().cancel(owner, submission().requestId());
    }
  }

  @Override
  public synchronized void onChunk(long sequence, byte[] bytes) {
    if (isOver || sequence < received) {
      return;
    }
    if (sequence > received) {
      cancelAtOwner(sentTo);
      finishFailed(
          ShoreroadException.of(
              ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "a piece of the answer is missing", 0));
      return;
    }
    if (received == 0) {
      firstChunkNanos = System.nanoTime();
    }
    received++;
    if (request.chat().isStreaming()) {
      answer.sendEvent(bytes);
    } else {
      whole.writeBytes(bytes);
    }
  }

  @Override
  public synchronized void onEnd() {
    if (isOver) {
      return;
    }
    isOver = true;
    long now = System.nanoTime();
    parts.upstreams().succeed(upstream(), firstChunkNanos - sentNanos, now);
    if (request.chat().isStreaming()) {
      answer.endEvents();
    } else {
      answer.sendWhole(200, "application/json", whole.toByteArray());
    }
    String kind = request.caller().kind().name();
    parts.metrics().record("shoreroad.gateway.first.token", kind, firstChunkNanos - arrived());
    parts.metrics().record("shoreroad.gateway.request", kind, now - arrived());
    parts
        .metrics()
        .add(
            "shoreroad.gateway.service.units",
            "account",
            account(),
            request.caller().kind().costWeight());
    parts.trace().add(request.requestId(), "answered whole");
    if (claim != null) {
      parts.intents().finish(claim);
    }
    onOver.run();
  }

  @Override
  public synchronized void onFailure(ShoreroadException failure) {
    if (isOver) {
      return;
    }
    long now = System.nanoTime();
    if (failure.code() == ErrorCode.QUEUE_FULL || failure.code() == ErrorCode.DEADLINE_PASSED) {
      parts.upstreams().cancel(upstream(), now);
    } else {
      parts.upstreams().fail(upstream(), now);
    }
    parts.trace().add(request.requestId(), failure.code() + " " + failure.verdict());
    mayHaveRun |= failure.verdict() != Verdict.NOT_RUN;
    if (failure.code() == ErrorCode.OWNER_LOST && received > 0) {
      Node lost = sentTo;
      lostOwnerId = lost == null ? "" : lost.id();
      resumeUntilNanos = now + TimeUnit.MILLISECONDS.toNanos(RESUME_LIMIT_MS);
      resumeElsewhere(failure);
    } else if (isResuming() && ELSEWHERE.contains(failure.code())) {
      resumeLater(failure);
    } else if (isRepeatable(failure) && attempts < MAX_ATTEMPTS && isWithinDeadline(now)) {
      repeat(failure);
    } else {
      finishFailed(failure);
    }
  }

  /**
   * Returns true if the request may be run from its beginning again.
   *
   * <p>It is not the last failure's verdict that counts but that of all attempts: a resume that was
   * refused as not run says nothing of the run it was to take up.
   */
  private boolean isRepeatable(ShoreroadException failure) {
    if (received > 0) {
      return false;
    }
    if (!mayHaveRun) {
      return ELSEWHERE.contains(failure.code());
    }
    boolean isWorthIt = BROKEN.contains(failure.code()) || ELSEWHERE.contains(failure.code());
    return isWorthIt && request.caller().kind().isRepeatable();
  }

  private void repeat(ShoreroadException failure) {
    if (!parts.upstreams().budget(account(), request.chat().model()).tryRetry()) {
      parts.metrics().count("shoreroad.gateway.retry.budget.empty");
      finishFailed(failure);
      return;
    }
    parts.metrics().countRetry(failure.code().toString());
    send();
  }

  private boolean isResuming() {
    return !lostOwnerId.isEmpty();
  }

  /** Waits, for a short bounded time, until the generation has another owner, and resumes there. */
  private void resumeElsewhere(ShoreroadException failure) {
    Optional<Node> owner = parts.owner().owners().owner(generation);
    if (owner.isPresent() && !owner.get().id().equals(lostOwnerId)) {
      parts.metrics().countRetry("owner_lost_resumed");
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
    parts
        .timer()
        .schedule(
            () -> {
              synchronized (this) {
                if (!isOver) {
                  resumeElsewhere(failure);
                }
              }
            },
            RESUME_STEP_MS,
            TimeUnit.MILLISECONDS);
  }

  private void send() {
    attempts++;
    long now = System.nanoTime();
    List<String> candidates =
        parts.control().state().standing(request.chat().model()).stream()
            .map(Generation::number)
            .filter(number -> parts.owner().owners().owner(number).isPresent())
            .map(String::valueOf)
            .toList();
    Optional<String> chosen = parts.upstreams().choose(candidates, request.chat().prefixKey(), now);
    if (chosen.isEmpty()) {
      long jitterMs = ThreadLocalRandom.current().nextLong(NO_REPLICA_RETRY_MS);
      finishFailed(
          ShoreroadException.notRun(
              ErrorCode.NO_REPLICA,
              "the model has no whole replica at present",
              NO_REPLICA_RETRY_MS + jitterMs));
      return;
    }
    generation = Long.parseLong(chosen.get());
    parts
        .owner()
        .owners()
        .owner(generation)
        .ifPresentOrElse(node -> sendTo(node, submission()), () -> onFailure(ownerUnknown()));
  }

  private static ShoreroadException ownerUnknown() {
    return ShoreroadException.notRun(ErrorCode.NOT_OWNER, "the owner is not known", 1);
  }

  private void sendTo(Node to, Submission submission) {
    sentTo = to;
    sentNanos = System.nanoTime();
    parts.upstreams().start(upstream(), sentNanos);
    parts.trace().add(request.requestId(), "to generation " + generation + " at owner " + to.id());
    parts.link().submit(to, submission, this);
  }

  private Submission submission() {
    long waitedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrived());
    return request.toSubmission(
        attempts, generation, Math.max(1, request.caller().kind().deadlineMs() - waitedMs));
  }

  private boolean isWithinDeadline(long nowNanos) {
    return nowNanos - arrived()
        < TimeUnit.MILLISECONDS.toNanos(request.caller().kind().deadlineMs());
  }

  private void finishFailed(ShoreroadException last) {
    isOver = true;
    ShoreroadException failure = withVerdictOfAll(last);
    parts.metrics().countRefusal(failure.code(), failure.verdict());
    parts.trace().add(request.requestId(), "answered " + failure.code());
    answer.fail(failure);
    if (claim != null && failure.verdict() == Verdict.NOT_RUN) {
      parts.intents().withdraw(claim);
    }
    onOver.run();
  }

  /** An earlier attempt that may have run outweighs a last one that did not. */
  private ShoreroadException withVerdictOfAll(ShoreroadException last) {
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

  private long arrived() {
    return request.arrivedNanos();
  }
}
