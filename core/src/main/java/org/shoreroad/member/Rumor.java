package org.shoreroad.member;

/**
 * Status of a process, spread by gossip in the messages of the membership protocol.
 *
 * <p>Of two rumors about the same process, the one with the higher incarnation is valid; at the
 * same incarnation, the one with the more severe status. Only the process itself increments its
 * incarnation. This class is immutable and thread-safe.
 *
 * @param nodeId the id of the process
 * @param status the status of the process
 * @param incarnation the incarnation number, incremented by each refutation and by leaving
 * @since 0.1
 */
public record Rumor(String nodeId, PeerStatus status, long incarnation) {
  /** Returns true if this rumor replaces the other one about the same process. */
  public boolean overrides(Rumor other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return status.compareTo(other.status) > 0;
  }
}
