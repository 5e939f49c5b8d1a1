package org.shoreroad.member;

import java.util.List;

/**
 * A message of the membership protocol (SWIM) between two processes.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param type the type of request or answer
 * @param sequence the sequence number of the request; an answer repeats it
 * @param subject the id of the process to ping, or that was pinged, on behalf of another process;
 *     otherwise empty
 * @param appliedOffset the offset up to which the sender has applied the control stream
 * @param rumors status changes to spread, at most {@link SwimMembership#MAX_RUMORS}
 * @since 0.1
 */
public record MembershipMessage(
    Type type, long sequence, String subject, long appliedOffset, List<Rumor> rumors) {
  /** Message types. */
  public enum Type {
    /** Requests an {@link #ACK}. */
    PING,
    /** Answers a {@link #PING}. */
    ACK,
    /** Requests that the receiver pings the subject. */
    PING_REQUEST,
    /** Reports that the subject answered a ping which the receiver had requested. */
    INDIRECT_ACK
  }

  /** Copies the rumors. */
  public MembershipMessage {
    rumors = List.copyOf(rumors);
  }
}
