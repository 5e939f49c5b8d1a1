package org.shoreroad.edge.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * The attempts of one request that have not ended, oldest first. Used on the event loop only.
 *
 * <p>There is one attempt, unless an upstream stalled and the request was sent to another one as
 * well. A stalled upstream may recover, so its attempt is cancelled only once another one answers.
 */
final class OpenAttempts {
  private final List<Attempt> open = new ArrayList<>(1);

  /** Returns the attempts as a stream of a copy. */
  Stream<Attempt> stream() {
    return List.copyOf(open).stream();
  }

  void add(Attempt attempt) {
    open.add(attempt);
  }

  void remove(Attempt attempt) {
    open.remove(attempt);
  }

  boolean isEmpty() {
    return open.isEmpty();
  }

  /** Returns the latest attempt, or null if none is open. */
  @Nullable Attempt newest() {
    return open.isEmpty() ? null : open.get(open.size() - 1);
  }

  boolean hasOther(Attempt attempt) {
    return open.stream().anyMatch(other -> other != attempt);
  }

  /** Returns the attempt at the upstream with this load, or null if there is none. */
  @Nullable Attempt findAt(UpstreamLoad load) {
    return open.stream()
        .filter(attempt -> attempt.target().load() == load)
        .findFirst()
        .orElse(null);
  }

  /** Returns true if a byte of any attempt may have left this process. */
  boolean isAnySent() {
    return isAny(Attempt::isSent);
  }

  /** Returns true if the condition holds for an attempt. */
  boolean isAny(Predicate<Attempt> condition) {
    return open.stream().anyMatch(condition);
  }

  /** Cancels all attempts but one; returns true if there was another one. */
  boolean keepOnly(Attempt kept) {
    if (open.size() < 2) {
      return false;
    }
    cancelIf(attempt -> attempt != kept);
    return true;
  }

  /** Cancels the attempts whose upstream has not begun to answer. */
  void cancelUnanswered() {
    cancelIf(attempt -> !attempt.hasHead());
  }

  void cancelAll() {
    cancelIf(attempt -> true);
  }

  private void cancelIf(Predicate<Attempt> condition) {
    List<Attempt> cancelled = open.stream().filter(condition).toList();
    open.removeAll(cancelled);
    cancelled.forEach(Attempt::cancel);
  }

  /** Ends the attempts with a body that is not forwarded and does not end. */
  void checkIgnoredBodies(long nowNanos) {
    if (isAny(Attempt::hasIgnoredBody)) {
      List.copyOf(open).forEach(attempt -> attempt.checkIgnoredBody(nowNanos));
    }
  }

  /** Returns a description of each attempt for the log. */
  List<String> describe(long nowNanos) {
    return open.stream().map(attempt -> attempt.describe(nowNanos)).toList();
  }

  /** Notifies all attempts that the caller reads too slowly or goes on. */
  void onWritabilityChanged(boolean isWritable) {
    List.copyOf(open).forEach(attempt -> attempt.onWritabilityChanged(isWritable));
  }

  /**
   * Resumes reading answers whose buffer was full and is not any more.
   *
   * @return true if none is paused any more
   */
  boolean resumeWithBuffer() {
    List.copyOf(open).forEach(Attempt::resumeWithBuffer);
    return !isAny(Attempt::isAwaitingBuffer);
  }
}
