package org.shoreroad.member;

/**
 * News of a process, which spreads along with heartbeats.
 *
 * <p>Of two rumors of the same process the one with the higher incarnation counts, then the graver
 * one. Only the process itself raises its incarnation. This class is immutable and thread-safe.
 *
 * @param nodeId the process
 * @param status what is believed of it
 * @param incarnation how often it has objected
 * @since 0.1
 */
public record Rumor(String nodeId, PeerStatus status, long incarnation) {
  /** Returns true if this rumor counts and the other does not. */
  public boolean overrides(Rumor other) {
    if (incarnation != other.incarnation) {
      return incarnation > other.incarnation;
    }
    return status.compareTo(other.status) > 0;
  }
}
