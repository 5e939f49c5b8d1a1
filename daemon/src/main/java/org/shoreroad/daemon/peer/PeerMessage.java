package org.shoreroad.daemon.peer;

import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.Verdict;
import org.shoreroad.daemon.request.Submission;
import org.shoreroad.intent.IntentRecord;
import org.shoreroad.member.MembershipMessage;
import org.shoreroad.state.Node;

/**
 * What processes of the system say to each other.
 *
 * <p>Implementations are immutable and thread-safe.
 *
 * @since 0.1
 */
public sealed interface PeerMessage {
  /**
   * The first message on a link: who speaks, and that it knows the token.
   *
   * @param node who speaks
   * @param token the token
   */
  record Hello(Node node, String token) implements PeerMessage {}

  /**
   * A heartbeat.
   *
   * @param message the heartbeat
   */
  record Membership(MembershipMessage message) implements PeerMessage {}

  /**
   * Gateway to owner: a request.
   *
   * @param submission the request
   */
  record Submit(Submission submission) implements PeerMessage {}

  /**
   * Gateway to owner: nobody waits for the answer any more.
   *
   * @param requestId the request
   */
  record Cancel(String requestId) implements PeerMessage {}

  /**
   * Owner to gateway: a piece of the answer.
   *
   * @param requestId the request
   * @param sequence the piece's number
   * @param bytes the piece
   */
  record Chunk(String requestId, long sequence, byte[] bytes) implements PeerMessage {}

  /**
   * Owner to gateway: the answer is whole.
   *
   * @param requestId the request
   */
  record Ended(String requestId) implements PeerMessage {}

  /**
   * Owner to gateway: the answer is not whole.
   *
   * @param requestId the request
   * @param code why
   * @param verdict whether it may have run
   * @param message why, for people
   * @param retryAfterMs when to come back, or 0
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
   * Asks for the applied state, if the other is ahead.
   *
   * @param appliedOffset how far the asker is
   */
  record CatchUpRequest(long appliedOffset) implements PeerMessage {}

  /**
   * The applied state of a process that is ahead.
   *
   * @param checkpoint the state, as a checkpoint
   */
  record CatchUpState(byte[] checkpoint) implements PeerMessage {}

  /**
   * Gateway to keeper: append an intent and tell who won.
   *
   * @param callId the number that the answer repeats
   * @param shard the intent stream
   * @param record the intent
   */
  record ClaimRequest(long callId, int shard, IntentRecord record) implements PeerMessage {}

  /**
   * Keeper to gateway: who won.
   *
   * @param callId the claim's number
   * @param result what became of it
   */
  record ClaimResponse(long callId, ClaimResult result) implements PeerMessage {}
}
