package org.shoreroad.edge.peer;

import java.io.IOException;

/**
 * Receiver of frames that are neither heartbeats nor notices, marked by their first byte. Used on
 * the event loop.
 *
 * @since 0.2
 */
public interface PeerFrames {
  /** Returns true if the first byte marks a frame for this receiver. */
  boolean accepts(byte[] frame);

  /**
   * Handles a frame.
   *
   * @param frame the frame, not null
   * @param replies the connection that it came on, for replies now or later, not null
   * @throws IOException or an unchecked exception if the bytes are no valid frame, which closes the
   *     connection
   */
  void receive(byte[] frame, Replies replies) throws IOException;

  /** Way back to the process that sent a frame. */
  interface Replies {
    /** Returns true while the connection is open. */
    boolean isOpen();

    /** Sends a frame, or drops it if the connection is closed or does not take it. */
    void send(byte[] frame);

    /** Sends a frame, also if the connection is slow; drops it if the connection is closed. */
    void sendReliably(byte[] frame);

    /** Returns true if the connection takes more frames without delay. */
    boolean isWritable();

    /** Returns the bytes of frames that wait to be sent. */
    long pendingBytes();

    /** Calls a listener when the connection is closed, or now if it is. */
    void onClose(Runnable listener);
  }
}
