package org.shoreroad.member;

import java.util.List;

/**
 * A message between the membership of two processes.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param type what it asks or answers
 * @param sequence the number that an answer repeats
 * @param subject the process asked after, for the types that ask for another
 * @param appliedOffset how far the sender has applied the control stream
 * @param rumors news, at most {@link SwimMembership#MAX_RUMORS}
 * @since 0.1
 */
public record MembershipMessage(
    Type type, long sequence, String subject, long appliedOffset, List<Rumor> rumors) {
  /** The types of message. */
  public enum Type {
    /** Are you there? */
    PING,
    /** I am. */
    ACK,
    /** Ask the subject whether it is there. */
    PING_REQUEST,
    /** The subject answered me. */
    INDIRECT_ACK
  }

  /** Copies the rumors. */
  public MembershipMessage {
    rumors = List.copyOf(rumors);
  }
}
