package org.shoreroad.daemon.peer;

import org.shoreroad.state.Node;

/**
 * Receives the events of links to peers. Called on the transport's thread; must not block.
 *
 * @since 0.1
 */
public interface PeerListener {
  /**
   * Called when a message has arrived.
   *
   * @param from the sender
   * @param message the message
   */
  default void onMessage(Node from, PeerMessage message) {}

  /**
   * Called when a link was lost; messages sent over it may or may not have arrived.
   *
   * @param nodeId the process at the other end
   */
  default void onLinkLost(String nodeId) {}
}
