package org.shoreroad.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Listener to the progress of one call.
 *
 * <p>All methods are called on the event loop, in order; none after {@link #onEnd} or {@link
 * #onFailure}.
 *
 * @since 0.2
 */
public interface CallListener {
  /**
   * Called right before the first byte is sent, to confirm that the request may still be sent.
   *
   * @return false to withdraw it
   */
  default boolean onSending() {
    return true;
  }

  /**
   * Called with the status and the headers of the answer.
   *
   * @return false if this answer belongs to another request and is to be skipped
   */
  boolean onHead(HttpResponse head);

  /** Called with a piece of the body; the buffer is released afterwards. */
  void onContent(ByteBuf content);

  /** Called when the answer is complete. */
  void onEnd();

  /** Called if there will be no complete answer. */
  void onFailure(CallFailure failure);
}
