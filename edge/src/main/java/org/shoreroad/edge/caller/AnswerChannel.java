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

  /** Length of a body that is not known yet. */
  long UNKNOWN_LENGTH = -1;

  /** Sends the head of an answer whose body follows in pieces, with a length that is not known. */
  default void begin(HttpResponseStatus status, HttpHeaders headers) {
    begin(status, headers, UNKNOWN_LENGTH);
  }

  /**
   * Sends the head of an answer whose body follows in pieces.
   *
   * @param lengthBytes the length of the body, or {@link #UNKNOWN_LENGTH}
   */
  void begin(HttpResponseStatus status, HttpHeaders headers, long lengthBytes);

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

  /**
   * Reserves memory for the answer to a request that is about to be sent, until the answer has come
   * or has failed.
   *
   * @param expectedBytes the bytes that are expected to be held for it
   * @return false if there is no memory for it
   */
  boolean reserveBuffer(long expectedBytes);

  /**
   * Returns the fill level of the answer's buffer: the bytes that are held for it as a part of
   * those that it may hold now. Above 1 it takes memory that others need.
   */
  double bufferFill();

  /** Returns false while the caller reads too slowly. */
  boolean isWritable();
}
