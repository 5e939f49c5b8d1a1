package org.shoreroad.edge.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Hears how one call goes; all methods are called on the event loop, in order.
 *
 * <p>After {@link #onEnd} or {@link #onFailure} nothing more is called.
 *
 * @since 0.2
 */
public interface CallListener {
  /**
   * Asks, right before the first byte leaves, whether the request may still be sent.
   *
   * @return false to withdraw it
   */
  default boolean onSending() {
    return true;
  }

  /**
   * Tells the status and the headers of the answer.
   *
   * @return false if this answer belongs to another request and is to be passed over
   */
  boolean onHead(HttpResponse head);

  /** Tells a piece of the body; the buffer is released after the call. */
  void onContent(ByteBuf content);

  /** Tells that the answer is whole. */
  void onEnd();

  /** Tells that there will be no whole answer. */
  void onFailure(CallFailure failure);
}
