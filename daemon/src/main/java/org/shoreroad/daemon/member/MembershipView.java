package org.shoreroad.daemon.member;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.shoreroad.member.PeerStatus;
import org.shoreroad.state.Node;

/**
 * A snapshot of this process's view of the membership.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param statusById the status of each process
 * @param appliedOffsetById the control stream offset that each process last reported as applied
 * @param workingNodes the processes that take new work; may include this one
 * @param isMajorityAlive whether more than half of all processes are alive in this view
 * @param contactNanos the monotonic time at which the last answered heartbeat was sent
 * @param hasContact whether any heartbeat was answered
 * @param highestPeerOffset the highest applied offset that a peer has reported
 * @since 0.1
 */
public record MembershipView(
    Map<String, PeerStatus> statusById,
    Map<String, Long> appliedOffsetById,
    List<Node> workingNodes,
    boolean isMajorityAlive,
    long contactNanos,
    boolean hasContact,
    long highestPeerOffset) {
  /** The view before the first heartbeat. */
  public static final MembershipView EMPTY =
      new MembershipView(Map.of(), Map.of(), List.of(), false, 0, false, -1);

  /** Copies the collections. */
  public MembershipView {
    statusById = Map.copyOf(statusById);
    appliedOffsetById = Map.copyOf(appliedOffsetById);
    workingNodes = List.copyOf(workingNodes);
  }

  /** Returns the status of a process; {@code DEAD} if it is not a member. */
  public PeerStatus statusOf(String nodeId) {
    return statusById.getOrDefault(nodeId, PeerStatus.DEAD);
  }

  /** Returns the ids of the processes that take new work. */
  public Collection<String> workingIds() {
    return workingNodes.stream().map(Node::id).toList();
  }
}
