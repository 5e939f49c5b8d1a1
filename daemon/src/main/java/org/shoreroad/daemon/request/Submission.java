package org.shoreroad.daemon.request;

import java.util.Objects;

/**
 * A caller's request on its way from the gateway to the owner of a replica.
 *
 * <p>This class is immutable; the body is shared and must not be written to. Thread-safe.
 *
 * @param requestId the id of the request, unique for ever
 * @param generation the generation it is meant for
 * @param account the client account
 * @param accountWeight the account's share, 1 or more
 * @param priority the kind's priority, 0 (first) to 9 (last)
 * @param expectedTokens how many tokens it is expected to need, positive
 * @param costWeight how much one of its tokens counts, 1 or more
 * @param waitMs how long it may wait before it is started, in milliseconds
 * @param isStreaming whether the caller wants the answer token by token
 * @param resumeAfter how many events of the answer the gateway holds already, or {@link #NO_RESUME}
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
  /** Stands for a request that is not to be resumed but run. */
  public static final long NO_RESUME = -1;

  /** Checks that no part is missing. */
  public Submission {
    Objects.requireNonNull(requestId, "requestId");
    Objects.requireNonNull(account, "account");
    Objects.requireNonNull(body, "body");
  }

  /** Returns the expected cost in weighted tokens. */
  public long cost() {
    return expectedTokens * costWeight;
  }

  /** Returns true if the engine's stream is to be taken up again, not the request run. */
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

  /** Returns a copy that takes up the answer after so many events. */
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
