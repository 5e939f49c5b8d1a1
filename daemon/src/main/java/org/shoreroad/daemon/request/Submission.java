package org.shoreroad.daemon.request;

import java.util.Objects;

/**
 * A caller's request as the gateway sends it to the owner of a replica.
 *
 * <p>This class is immutable; the body is shared and must not be modified. Thread-safe.
 *
 * @param requestId the id of the request, never reused
 * @param generation the number of the generation that runs it
 * @param account the client account
 * @param accountWeight the account's weight in fair queueing, 1 or more
 * @param priority the kind's priority, 0 (first) to 9 (last)
 * @param expectedTokens the expected number of tokens of prompt and answer, positive
 * @param costWeight the cost of one token, 1 or more
 * @param waitMs the longest time in the queue, in milliseconds
 * @param isStreaming whether the caller requested a token stream
 * @param resumeAfter the number of events that the gateway has received already, or {@link
 *     #NO_RESUME}
 * @param body the request's body, as the caller sent it
 * @since 0.1
 */
public record Submission(
    String requestId,
    long generation,
    String account,
    int accountWeight,
    int priority,
    long expectedTokens,
    int costWeight,
    long waitMs,
    boolean isStreaming,
    long resumeAfter,
    byte[] body) {
  /** Value of {@code resumeAfter} for a request that is run from its beginning. */
  public static final long NO_RESUME = -1;

  /** Checks that no component is null. */
  public Submission {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(body, "body");
  }

  /** Returns the expected cost in weighted tokens. */
  public long cost() {
    return expectedTokens * costWeight;
  }

  /** Returns true if the engine's existing stream is resumed instead of running the request. */
  public boolean isResume() {
    return resumeAfter != NO_RESUME;
  }

  /** Returns a copy for another generation. */
  public Submission withGeneration(long next) {
    return new Submission(
        requestId,
        next,
        account,
        accountWeight,
        priority,
        expectedTokens,
        costWeight,
        waitMs,
        isStreaming,
        resumeAfter,
        body);
  }

  /** Returns a copy that resumes the answer after this number of events. */
  public Submission withResumeAfter(long events) {
    return new Submission(
        requestId,
        generation,
        account,
        accountWeight,
        priority,
        expectedTokens,
        costWeight,
        waitMs,
        isStreaming,
        events,
        body);
  }
}
