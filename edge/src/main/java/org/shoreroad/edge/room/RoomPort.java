package org.shoreroad.edge.room;

import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;

/**
 * Way to the owners of fabric domains. Used on the event loop.
 *
 * @since 0.2
 */
interface RoomPort {
  /**
   * Sends a message to an owner, which may be this process. Replies may arrive before this method
   * returns.
   *
   * @return false if the message is known to be lost
   */
  boolean send(RoomOwner owner, RoomMessage message);
}
