package org.shoreroad.daemon.owner;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.Box;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.config.ModelSpec;
import org.shoreroad.daemon.kernel.EventLoop;
import org.shoreroad.daemon.member.ContactPolicy;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.request.Submission;
import org.shoreroad.queue.DrainRate;
import org.shoreroad.queue.FairQueue;
import org.shoreroad.queue.QueuedItem;
import org.shoreroad.replica.BoxReport;
import org.shoreroad.replica.ReplicaController;

/**
 * The probes, the request queue and the running requests of one generation that this process owns.
 *
 * <p>Not thread-safe: used only on the owner's thread.
 */
final class OwnedReplica {
  private static final long NO_REPLICA_RETRY_MS = 2_000;
  private static final long MIN_PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final int MAX_RESUMES = 2;

  private final ReplicaController controller;
  private final EngineClient engines;
  private final ContactPolicy contact;
  private final Metrics metrics;
  private final EventLoop ownerThread;
  private final long probeNanos;
  private final FairQueue<PendingRequest> queue = new FairQueue<>(0);
  private final DrainRate drainRate;
  private final Map<String, RunningRequest> running = new LinkedHashMap<>();
  private long nextProbeNanos;
  private long lastProbeNanos;
  private int maxRunning = 1;
  private boolean isIntakeOpen = true;

  OwnedReplica(
      ReplicaController controller,
      EngineClient engines,
      ContactPolicy contact,
      Metrics metrics,
      EventLoop ownerThread,
      long probeNanos,
      long nowNanos) {
    this.controller = controller;
    this.engines = engines;
    this.contact = contact;
    this.metrics = metrics;
    this.ownerThread = ownerThread;
    this.probeNanos = probeNanos;
    this.drainRate = new DrainRate(nowNanos);
    this.nextProbeNanos = nowNanos;
    this.lastProbeNanos = nowNanos - MIN_PROBE_INTERVAL_NANOS;
  }

  ReplicaController controller() {
    return controller;
  }

  int runningCount() {
    return running.size();
  }

  /** Returns true if the end of an answer is held back until the boxes have answered a probe. */
  boolean isConfirmingEnd() {
    return running.values().stream().anyMatch(RunningRequest::isEnding);
  }

  int queuedCount() {
    return queue.size();
  }

  /** Sets the limits on running and queued requests from the declared model. */
  void setModel(ModelSpec model) {
    maxRunning = model.maxRunning();
    queue.setCapacity(model.maxQueued());
  }

  boolean isServing(long nowNanos) {
    return controller.findFreshSnapshot(nowNanos).isPresent();
  }

  /** Starts, queues or refuses a request. */
  void submit(PendingRequest request, long nowNanos) {
    ShoreroadException refusal = findRefusal(nowNanos);
    if (refusal != null) {
      refuse(request, refusal);
      return;
    }
    Submission s = request.submission();
    QueuedItem<PendingRequest> item =
        new QueuedItem<>(
            request,
            s.account(),
            s.accountWeight(),
            s.priority(),
            s.cost(),
            nowNanos + TimeUnit.MILLISECONDS.toNanos(s.waitMs()));
    // A resumed request is already running in the engine, and a free slot needs no queueing.
    boolean hasFreeSlot = running.size() < maxRunning && queue.size() == 0;
    if (s.isResume() || hasFreeSlot) {
      dispatch(item, nowNanos);
      return;
    }
    FairQueue.OfferResult<PendingRequest> offered = queue.offer(item);
    offered.displaced().ifPresent(displaced -> refuseFull(displaced.value(), nowNanos));
    if (!offered.isAccepted()) {
      refuseFull(request, nowNanos);
    }
    dispatchWaiting(nowNanos);
  }

  private @Nullable ShoreroadException findRefusal(long nowNanos) {
    if (!isIntakeOpen) {
      return ShoreroadException.notRun(ErrorCode.NOT_OWNER, "the owner has changed", 1);
    }
    if (!contact.mayServe(nowNanos)) {
      return ShoreroadException.notRun(
          ErrorCode.OUT_OF_CONTACT,
          "the owner reaches neither the log nor enough peers",
          NO_REPLICA_RETRY_MS);
    }
    if (!isServing(nowNanos)) {
      return notReady();
    }
    return null;
  }

  private static ShoreroadException notReady() {
    long jitterMs = ThreadLocalRandom.current().nextLong(NO_REPLICA_RETRY_MS / 2);
    return ShoreroadException.notRun(
        ErrorCode.NO_REPLICA, "the replica is not ready", NO_REPLICA_RETRY_MS + jitterMs);
  }

  /** Sends due probes, refuses overdue requests and starts queued ones. */
  void tick(long nowNanos) {
    if (nowNanos - nextProbeNanos >= 0) {
      nextProbeNanos = nowNanos + probeNanos;
      probeAll(nowNanos);
    }
    for (QueuedItem<PendingRequest> overdue : queue.removeOverdue(nowNanos)) {
      long retryMs = retryAfterMs(nowNanos);
      refuse(
          overdue.value(),
          ShoreroadException.notRun(
              ErrorCode.DEADLINE_PASSED,
              "the deadline passed while the request was queued",
              retryMs));
    }
    checkRunning(nowNanos);
    if (queue.size() > 0 && (!isServing(nowNanos) || !contact.mayServe(nowNanos))) {
      refuseQueued(notReady());
    }
    dispatchWaiting(nowNanos);
  }

  /** Refuses new and queued requests from now on, so that they can go to another owner. */
  void closeIntake() {
    if (isIntakeOpen) {
      isIntakeOpen = false;
      refuseQueued(ShoreroadException.notRun(ErrorCode.NOT_OWNER, "the owner has changed", 1));
    }
  }

  /** Accepts new requests again. */
  void openIntake() {
    isIntakeOpen = true;
  }

  /** Cancels a request whose answer is no longer needed. */
  void cancel(String requestId) {
    queue.removeIf(item -> item.value().submission().requestId().equals(requestId));
    RunningRequest request = running.remove(requestId);
    if (request != null) {
      request.abandon();
      engines.cancel(controller.generation(), requestId);
    }
  }

  /** Cancels all requests of a gateway whose link was lost. */
  void dropGateway(String gatewayId) {
    queue.removeIf(item -> item.value().gatewayId().equals(gatewayId));
    running
        .values()
        .removeIf(
            request -> {
              boolean isFromGateway = request.item().value().gatewayId().equals(gatewayId);
              if (isFromGateway) {
                request.abandon();
                engines.cancel(controller.generation(), request.submission().requestId());
              }
              return isFromGateway;
            });
  }

  /** Fails all running requests, since the replica can no longer finish them. */
  void failRunning(ErrorCode code, String message) {
    ShoreroadException failure =
        ShoreroadException.of(code, Verdict.MAY_HAVE_RUN, message, NO_REPLICA_RETRY_MS);
    List<RunningRequest> all = new ArrayList<>(running.values());
    running.clear();
    all.forEach(request -> request.fail(failure));
  }

  private void probeAll(long nowNanos) {
    lastProbeNanos = nowNanos;
    for (Box box : controller.generation().boxes()) {
      engines.probe(
          box,
          new EngineClient.ProbeListener() {
            @Override
            public void onReport(BoxReport report, long sentNanos) {
              ownerThread.tryPost(
                  () -> {
                    controller.recordReport(box.name(), report, sentNanos);
                    checkRunning(System.nanoTime());
                  });
            }

            @Override
            public void onFailure(long sentNanos) {
              metrics.count("shoreroad.owner.probe.failures");
              ownerThread.tryPost(() -> controller.recordFailure(box.name(), sentNanos));
            }
          });
    }
  }

  private void dispatchWaiting(long nowNanos) {
    while (running.size() < maxRunning && queue.size() > 0 && isServing(nowNanos)) {
      queue.poll().ifPresent(item -> dispatch(item, nowNanos));
    }
  }

  private void dispatch(QueuedItem<PendingRequest> item, long nowNanos) {
    Optional<ReplicaController.ReplicaSnapshot> snapshot = controller.findFreshSnapshot(nowNanos);
    if (snapshot.isEmpty()) {
      refuse(item.value(), notReady());
      return;
    }
    RunningRequest request = new RunningRequest(item, snapshot.get());
    running.put(item.value().submission().requestId(), request);
    send(request, item.value().submission(), nowNanos);
  }

  private void send(RunningRequest request, Submission submission, long nowNanos) {
    long contactUntil = contact.serveUntilNanos(nowNanos);
    long evidenceUntil = controller.evidenceUntilNanos();
    DispatchGuard guard =
        DispatchGuard.of(contactUntil - evidenceUntil < 0 ? contactUntil : evidenceUntil);
    String loadName = request.snapshot().headLoadName();
    EngineStream.Listener listener = new StreamListener(request);
    request.setCall(
        submission.isResume()
            ? engines.resume(controller.generation(), loadName, submission, guard, listener)
            : engines.run(controller.generation(), loadName, submission, guard, listener));
  }

  /** Forwards chunks directly, and posts ends and failures to the owner's thread. */
  private final class StreamListener implements EngineStream.Listener {
    private final RunningRequest request;

    StreamListener(RunningRequest request) {
      this.request = request;
    }

    @Override
    public void onChunk(byte[] bytes) {
      request.forwardChunk(bytes);
    }

    @Override
    public void onComplete(List<byte[]> held, long tokens) {
      request.recordEndMarker(held, tokens, System.nanoTime());
      post(() -> probeToConfirmEnd());
    }

    @Override
    public void onFailure(ShoreroadException failure, boolean isResumable) {
      post(() -> handleFailure(request, failure, isResumable));
    }

    private void post(Runnable task) {
      if (!ownerThread.tryPost(task)) {
        metrics.count("shoreroad.owner.ring.full");
        request.fail(
            ShoreroadException.of(
                ErrorCode.INTERNAL, Verdict.MAY_HAVE_RUN, "the owner is overloaded", 1_000));
      }
    }
  }

  /**
   * Probes all boxes, now or after the minimum interval.
   *
   * <p>The end of an answer is forwarded only after the reports show an unchanged replica.
   */
  private void probeToConfirmEnd() {
    long now = System.nanoTime();
    if (now - lastProbeNanos >= MIN_PROBE_INTERVAL_NANOS) {
      probeAll(now);
    } else {
      nextProbeNanos = Math.min(nextProbeNanos, lastProbeNanos + MIN_PROBE_INTERVAL_NANOS);
    }
  }

  private void checkRunning(long nowNanos) {
    if (running.isEmpty()) {
      return;
    }
    for (RunningRequest request : new ArrayList<>(running.values())) {
      if (request.isEnding()
          && controller.isUnchangedSince(request.snapshot(), request.endedNanos())) {
        running.remove(request.submission().requestId());
        complete(request, nowNanos);
      } else if (controller.isBroken(request.snapshot(), nowNanos)) {
        running.remove(request.submission().requestId());
        request.fail(
            ShoreroadException.of(
                ErrorCode.REPLICA_LOST,
                Verdict.MAY_HAVE_RUN,
                "a box of the replica was lost",
                NO_REPLICA_RETRY_MS));
      }
    }
  }

  private void complete(RunningRequest request, long nowNanos) {
    drainRate.record(nowNanos);
    queue.settle(request.item(), Math.max(1, request.tokens()) * request.submission().costWeight());
    request.end();
    metrics.count("shoreroad.owner.completed");
    dispatchWaiting(nowNanos);
  }

  private void handleFailure(
      RunningRequest request, ShoreroadException failure, boolean isResumable) {
    long now = System.nanoTime();
    String id = request.submission().requestId();
    if (running.get(id) != request) {
      return;
    }
    // The engine keeps generating after a broken connection, so its stream can be resumed.
    if (isResumable
        && !controller.isBroken(request.snapshot(), now)
        && request.countResume() <= MAX_RESUMES) {
      metrics.countRetry("stream_resumed");
      send(request, request.submission().withResumeAfter(request.chunkCount()), now);
      return;
    }
    running.remove(id);
    request.fail(failure);
    dispatchWaiting(now);
  }

  private long retryAfterMs(long nowNanos) {
    return drainRate.retryAfterMs(nowNanos, queue.size(), ThreadLocalRandom.current().nextDouble());
  }

  private void refuseFull(PendingRequest request, long nowNanos) {
    refuse(
        request,
        ShoreroadException.notRun(
            ErrorCode.QUEUE_FULL, "the replica's queue is full", retryAfterMs(nowNanos)));
  }

  private void refuseQueued(ShoreroadException refusal) {
    queue.removeIf(item -> true).forEach(item -> refuse(item.value(), refusal));
  }

  private void refuse(PendingRequest request, ShoreroadException refusal) {
    metrics.count("shoreroad.owner.refusals", "code", refusal.code().toString());
    request.sink().onFailure(refusal);
  }
}
