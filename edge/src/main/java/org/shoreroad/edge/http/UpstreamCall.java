package org.shoreroad.edge.http;

/**
 * Request to an upstream that can be cancelled, sent by this process or by another one for it.
 *
 * <p>Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public interface UpstreamCall {
  /** Ends the call, so that the upstream stops its work; the listener is not called any more. */
  void cancel();

  /** Pauses or resumes reading, to pass the backpressure of a slow caller on to the upstream. */
  void setReading(boolean isReading);

  /** Returns true once a byte of the request may have been sent to the upstream. */
  boolean isSent();

  /** Returns true if the connection to the upstream is one of this process. */
  boolean isDirect();
}
