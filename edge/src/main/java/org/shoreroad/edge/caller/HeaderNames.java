package org.shoreroad.edge.caller;

import io.netty.handler.codec.http.HttpResponse;

/**
 * Names of the headers that callers, this process and upstreams exchange.
 *
 * <p>Only the platform adapter, which supplies them, depends on their text. Immutable and
 * thread-safe.
 *
 * @param attemptId the id of one attempt of a caller, which the upstream's answer echoes
 * @param deadlineMs the time that the sender of the request will wait, in milliseconds
 * @param model the requested model
 * @param tokenCount the tokens of the prompt and the most tokens of the answer, separated by a
 *     comma
 * @param lastEventId the last received event of a stream
 * @param expectedUpstream the only upstream that may run the request
 * @param account the name of the client account, for the upstream
 * @param rank the priority of the request for the engine
 * @param seal the upstream's seal on its answer
 * @param notRun present if the upstream reports that it did not run the request
 * @param limit the requests per second that the upstream accepts from all processes together,
 *     present in its answers while the limit is in force
 * @param leaving 1 in all answers of an upstream that is about to end
 * @param lengthHint the caller's estimate of the tokens of the answer
 * @param coldMs the time for which the upstream stays cold, in milliseconds, in its answers to
 *     liveness checks
 * @param promptParts the parts of the prompt in order, each as id, colon and number of tokens,
 *     separated by commas; the last part belongs to the request or its session, all others may be
 *     shared with other requests
 * @since 0.2
 */
public record HeaderNames(
    String attemptId,
    String deadlineMs,
    String model,
    String tokenCount,
    String lastEventId,
    String expectedUpstream,
    String account,
    String rank,
    String seal,
    String notRun,
    String limit,
    String leaving,
    String lengthHint,
    String coldMs,
    String promptParts) {
  /**
   * Returns true if an answer belongs to another request than the one with this id. An upstream may
   * send one more answer late on a connection.
   */
  public boolean isOfOtherRequest(HttpResponse answer, String requestId) {
    String echoedId = answer.headers().get(attemptId);
    return echoedId == null ? answer.headers().contains(seal) : !echoedId.equals(requestId);
  }
}
