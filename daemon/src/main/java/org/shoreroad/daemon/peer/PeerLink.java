package org.shoreroad.daemon.peer;

import org.shoreroad.state.Node;

/**
 * Sends messages to other processes.
 *
 * <p>Implementations are thread-safe and don't block.
 *
 * @since 0.1
 */
public interface PeerLink {
  /**
   * Sends a message, connecting first if need be. Messages to one process arrive in order, or the
   * link is reported lost.
   *
   * @param to whom it goes to
   * @param message the message
   * @param onNotSent called if it is certain that no byte of it left
   */
  void send(Node to, PeerMessage message, Runnable onNotSent);

  /** Drops the link to a process, as if it had been lost. */
  void drop(String nodeId);
}
