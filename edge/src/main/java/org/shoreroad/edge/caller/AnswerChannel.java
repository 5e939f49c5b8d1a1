package org.shoreroad.edge.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The way back to the caller of one request; used on the event loop.
 *
 * @since 0.2
 */
public interface AnswerChannel {
  /** Sends a whole answer; the body's buffer is released. */
  void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Sends the head of an answer that is made of pieces. */
  void begin(HttpResponseStatus status, HttpHeaders headers);

  /** Sends a piece; the buffer is released. */
  void send(ByteBuf piece);

  /** Ends an answer that was begun, as a whole one. */
  void end();

  /** Closes the connection, so that what was sent does not look whole. */
  void abort();

  /** Returns false while the caller reads too slowly. */
  boolean isWritable();
}
