package org.shoreroad.daemon.gateway;

import java.util.UUID;
import org.shoreroad.daemon.request.Submission;

/**
 * A chat request that passed all checks.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param requestId the request's id, unique for ever
 * @param caller who calls
 * @param chat what the body says
 * @param body the body
 * @param arrivedNanos when it arrived, on the monotonic clock
 */
record ChatRequest(String requestId, Caller caller, ChatBody chat, byte[] body, long arrivedNanos) {
  /** Returns a new request id. */
  static String newId() {
    return "req-" + UUID.randomUUID();
  }

  /**
   * Returns the submission of one attempt.
   *
   * @param attempt the attempt's number; each has an id of its own, so that nothing late of one
   *     attempt can come into the answer of the next
   * @param generation the generation
   * @param waitMs how long it may wait to be started
   */
  Submission toSubmission(int attempt, long generation, long waitMs) {
    return new Submission(
        requestId + "-" + attempt,
        generation,
        caller.account().name(),
        caller.account().weight(),
        caller.kind().priority(),
        chat.expectedTokens(),
        caller.kind().costWeight(),
        waitMs,
        chat.isStreaming(),
        Submission.NO_RESUME,
        body);
  }
}
