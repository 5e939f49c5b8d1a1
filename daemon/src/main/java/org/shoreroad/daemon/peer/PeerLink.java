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
   * Sends a message, connecting first if necessary. Messages to one process arrive in order, or the
   * loss of the link is reported.
   *
   * @param to the process to send to
   * @param message the message
   * @param onNotSent called if it is certain that no byte of the message was sent
   */
  void send(Node to, PeerMessage message, Runnable onNotSent);

  /** Closes the link to a process; reported like a lost link. */
  void drop(String nodeId);
}
