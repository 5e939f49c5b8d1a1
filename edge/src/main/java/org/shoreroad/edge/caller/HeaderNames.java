package org.shoreroad.edge.caller;

/**
 * The names of the headers that callers, this process and upstreams exchange.
 *
 * <p>The adapter of a platform gives them; nothing else knows their text.
 *
 * @param attemptId names one try of a caller; the upstream's answer echoes it
 * @param deadlineMs how long the sender of the request will wait, in milliseconds
 * @param model the model that is asked for
 * @param tokenCount the tokens of the prompt and the most tokens of the answer, with a comma
 * @param lastEventId the last event of a stream that was received
 * @param expectedUpstream the only upstream that may run the request
 * @param account the name of the client account, for the upstream
 * @param rank how urgent the request is to the engine
 * @param seal the upstream's own mark on its answer
 * @param notRun present if the upstream says that it did not run the request
 * @param limit how many requests a second the upstream takes from all processes together, present
 *     in its answers for as long as that holds
 * @param leaving is 1 in all answers of an upstream that is about to end
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
    String leaving) {}
