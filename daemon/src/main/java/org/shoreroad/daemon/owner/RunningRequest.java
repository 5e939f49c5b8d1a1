package org.shoreroad.daemon.owner;

import java.util.ArrayList;
import java.util.List;
import okhttp3.Call;
import org.jspecify.annotations.Nullable;
import org.shoreroad.ShoreroadException;
import org.shoreroad.daemon.request.AnswerSink;
import org.shoreroad.daemon.request.Submission;
import org.shoreroad.queue.QueuedItem;
import org.shoreroad.replica.ReplicaController;

/**
 * A request that was sent to an engine; forwards its chunks to the sink until one end or failure.
 *
 * <p>Chunks arrive on the engine client's threads, ends and failures on the owner's thread. The
 * lock ensures that nothing is forwarded after the end. Thread-safe.
 */
final class RunningRequest {
  private final QueuedItem<PendingRequest> item;
  private final ReplicaController.ReplicaSnapshot snapshot;
  private final List<byte[]> held = new ArrayList<>();
  private long nextSequence;
  private boolean isFinished;
  private boolean isEnding;
  private long endedNanos;
  private int resumes;
  private long tokens;
  private @Nullable Call call;

  RunningRequest(QueuedItem<PendingRequest> item, ReplicaController.ReplicaSnapshot snapshot) {
    this.item = item;
    this.snapshot = snapshot;
    this.nextSequence = Math.max(0, item.value().submission().resumeAfter());
  }

  QueuedItem<PendingRequest> item() {
    return item;
  }

  Submission submission() {
    return item.value().submission();
  }

  /** Returns the state that the boxes had reported when the request was sent. */
  ReplicaController.ReplicaSnapshot snapshot() {
    return snapshot;
  }

  private AnswerSink sink() {
    return item.value().sink();
  }

  synchronized void setCall(Call next) {
    call = next;
    if (isFinished) {
      next.cancel();
    }
  }

  synchronized void forwardChunk(byte[] bytes) {
    if (!isFinished) {
      sink().onChunk(nextSequence++, bytes);
    }
  }

  /** Records the engine's end marker; {@link #end} forwards it after the replica was checked. */
  synchronized void recordEndMarker(List<byte[]> last, long tokenCount, long nowNanos) {
    held.addAll(last);
    tokens = tokenCount;
    isEnding = true;
    endedNanos = nowNanos;
  }

  synchronized boolean isEnding() {
    return isEnding;
  }

  synchronized long endedNanos() {
    return endedNanos;
  }

  synchronized long tokens() {
    return tokens;
  }

  synchronized long chunkCount() {
    return nextSequence;
  }

  /** Counts one more resume and returns the number of resumes. */
  synchronized int countResume() {
    return ++resumes;
  }

  synchronized void end() {
    if (!isFinished) {
      isFinished = true;
      held.forEach(bytes -> sink().onChunk(nextSequence++, bytes));
      sink().onEnd();
    }
  }

  synchronized void fail(ShoreroadException failure) {
    if (!isFinished) {
      isFinished = true;
      if (call != null) {
        call.cancel();
      }
      sink().onFailure(failure);
    }
  }

  /** Cancels the request without notifying the sink, since no caller waits. */
  synchronized void abandon() {
    isFinished = true;
    if (call != null) {
      call.cancel();
    }
  }
}
