package org.shoreroad.edge.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Channel for the answer to one request of a caller. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public interface AnswerChannel {
  /** Sends a complete answer and releases the body's buffer. */
  void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Sends the head of an answer whose body follows in pieces. */
  void begin(HttpResponseStatus status, HttpHeaders headers);

  /** Sends a piece of the body and releases its buffer. */
  void send(ByteBuf piece);

  /** Completes an answer that was begun. */
  void end();

  /** Closes the connection, so that the caller sees the answer as incomplete. */
  void abort();

  /**
   * Adds to the bytes of the answer that are collected for the caller before they are sent.
   *
   * @param change the change, negative for bytes that were sent or dropped
   */
  default void addCollected(long change) {}

  /** Returns false while the caller reads too slowly. */
  boolean isWritable();
}
