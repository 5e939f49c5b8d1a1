package org.shoreroad.edge.room;

/** Way back to the process that sent a message. Used on the event loop. */
interface RoomReplies {
  /** Returns true while a reply can reach the process. */
  boolean isOpen();

  /** Sends a reply, or drops it. */
  void send(RoomMessage message);
}
