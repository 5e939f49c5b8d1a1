package org.shoreroad.daemon.peer;

import org.shoreroad.state.Node;

/**
 * Takes in what comes over the links. Called on the link's thread; must not block.
 *
 * @since 0.1
 */
public interface PeerListener {
  /**
   * Takes in a message.
   *
   * @param from who sent it
   * @param message the message
   */
  default void onMessage(Node from, PeerMessage message) {}

  /**
   * Takes in that a link was lost: what was sent over it may have arrived or not.
   *
   * @param nodeId the process at the other end
   */
  default void onLinkLost(String nodeId) {}
}
