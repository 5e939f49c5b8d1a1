package org.shoreroad.daemon.owner;

import org.shoreroad.daemon.request.AnswerSink;
import org.shoreroad.daemon.request.Submission;

/**
 * A request at the owner and the sink of its answer.
 *
 * @param submission the request
 * @param sink receives the answer
 * @param gatewayId the id of the process that the caller is connected to
 * @param arrivedNanos the time of arrival at the owner, in nanoseconds of the monotonic clock
 */
record PendingRequest(
    Submission submission, AnswerSink sink, String gatewayId, long arrivedNanos) {}
