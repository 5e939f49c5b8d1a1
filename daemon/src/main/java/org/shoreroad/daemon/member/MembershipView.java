package org.shoreroad.daemon.member;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.shoreroad.member.PeerStatus;
import org.shoreroad.state.Node;

/**
 * What this process believed of the others at one moment.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param statusById what is believed of each process
 * @param appliedOffsetById how far each peer said it has applied the control stream
 * @param workingNodes the processes that take on new work, the own one among them
 * @param isMajorityAlive whether more than half of all processes were believed alive
 * @param contactNanos when the last answered heartbeat was sent, on the monotonic clock
 * @param hasContact whether any heartbeat was answered
 * @param highestPeerOffset the greatest applied offset that a peer told of
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
  /** The view before anything is known. */
  public static final MembershipView EMPTY =
      new MembershipView(Map.of(), Map.of(), List.of(), false, 0, false, -1);

  /** Copies the collections. */
  public MembershipView {
    statusById = Map.copyOf(statusById);
    appliedOffsetById = Map.copyOf(appliedOffsetById);
    workingNodes = List.copyOf(workingNodes);
  }

  /** Returns what was believed of a process; one that does not exist is dead. */
  public PeerStatus statusOf(String nodeId) {
    return statusById.getOrDefault(nodeId, PeerStatus.DEAD);
  }

  /** Returns the ids of the processes that take on new work. */
  public Collection<String> workingIds() {
    return workingNodes.stream().map(Node::id).toList();
  }
}
