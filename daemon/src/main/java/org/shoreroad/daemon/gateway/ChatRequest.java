package org.shoreroad.daemon.gateway;

import java.util.UUID;
import org.shoreroad.daemon.request.Submission;

/**
 * A chat request that passed all checks.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param requestId the request's id, never reused
 * @param caller the checked account, kind and idempotency key
 * @param chat the parsed fields of the body
 * @param body the body as the caller sent it
 * @param arrivedNanos the time of arrival, in nanoseconds of the monotonic clock
 */
record ChatRequest(String requestId, Caller caller, ChatBody chat, byte[] body, long arrivedNanos) {
  /** Returns a new request id. */
  static String newId() {
    return "req-" + UUID.randomUUID();
  }

  /**
   * Returns the submission of one attempt.
   *
   * @param attempt the attempt's number, which makes the submission's id unique, so that a late
   *     message of one attempt can't be taken for part of the answer to the next
   * @param generation the number of the generation
   * @param waitMs the longest time in the owner's queue, in milliseconds
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
