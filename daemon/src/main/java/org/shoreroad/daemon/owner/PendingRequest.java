package org.shoreroad.daemon.owner;

import org.shoreroad.daemon.request.AnswerSink;
import org.shoreroad.daemon.request.Submission;

/**
 * A request at the owner and where its answer goes.
 *
 * @param submission the request
 * @param sink where the answer goes
 * @param gatewayId the process that the caller is connected to
 * @param arrivedNanos when it arrived here, on the monotonic clock
 */
record PendingRequest(
    Submission submission, AnswerSink sink, String gatewayId, long arrivedNanos) {}
