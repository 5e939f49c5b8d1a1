package org.shoreroad.daemon.peer;

import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.daemon.request.Submission;
import org.shoreroad.intent.IntentRecord;
import org.shoreroad.member.MembershipMessage;
import org.shoreroad.state.Node;

/**
 * A message between processes of the system.
 *
 * <p>Implementations are immutable and thread-safe.
 *
 * @since 0.1
 */
public sealed interface PeerMessage {
  /**
   * The first message on a connection, which identifies and authenticates the sender.
   *
   * @param node the sender
   * @param token the token that all processes share
   */
  record Hello(Node node, String token) implements PeerMessage {}

  /**
   * A message of the membership protocol.
   *
   * @param message the message
   */
  record Membership(MembershipMessage message) implements PeerMessage {}

  /**
   * Gateway to owner: runs a request.
   *
   * @param submission the request
   */
  record Submit(Submission submission) implements PeerMessage {}

  /**
   * Gateway to owner: cancels a request whose answer is no longer needed.
   *
   * @param requestId the request
   */
  record Cancel(String requestId) implements PeerMessage {}

  /**
   * Owner to gateway: a chunk of the answer.
   *
   * @param requestId the request
   * @param sequence the chunk's number
   * @param bytes the content
   */
  record Chunk(String requestId, long sequence, byte[] bytes) implements PeerMessage {}

  /**
   * Owner to gateway: the answer is complete.
   *
   * @param requestId the request
   */
  record Ended(String requestId) implements PeerMessage {}

  /**
   * Owner to gateway: the request failed; its answer is not complete.
   *
   * @param requestId the request
   * @param code the reason
   * @param verdict whether the request may have run
   * @param message the reason as text
   * @param retryAfterMs the delay before a retry in milliseconds, or 0 for none
   */
  record Failed(
      String requestId, ErrorCode code, Verdict verdict, String message, long retryAfterMs)
      implements PeerMessage {
    /** Returns the message for a failure. */
    public static Failed of(String requestId, ShoreroadException failure) {
      return new Failed(
          requestId,
          failure.code(),
          failure.verdict(),
          String.valueOf(failure.getMessage()),
          failure.retryAfterMs());
    }

    /** Returns the failure. */
    public ShoreroadException toException() {
      return ShoreroadException.of(code, verdict, message, retryAfterMs);
    }
  }

  /**
   * Requests the applied state of a process with a higher applied offset.
   *
   * @param appliedOffset the applied offset of the sender
   */
  record CatchUpRequest(long appliedOffset) implements PeerMessage {}

  /**
   * The applied state of the sender, in response to {@link CatchUpRequest}.
   *
   * @param checkpoint the state, as a checkpoint
   */
  record CatchUpState(byte[] checkpoint) implements PeerMessage {}

  /**
   * Gateway to intent appender: requests to append an intent record.
   *
   * @param callId the number that the response repeats
   * @param shard the intent stream
   * @param record the intent record
   */
  record ClaimRequest(long callId, int shard, IntentRecord record) implements PeerMessage {}

  /**
   * Intent appender to gateway: the result of a claim.
   *
   * @param callId the number of the {@link ClaimRequest}
   * @param result the result
   */
  record ClaimResponse(long callId, ClaimResult result) implements PeerMessage {}
}
