package org.shoreroad.edge.caller;

/**
 * One request from its arrival to its answer. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public interface CallerExchange {
  /** Called when the caller has disconnected; all work for the request is to stop. */
  void onCallerGone();

  /** Called when the caller starts or stops reading too slowly. */
  void onWritabilityChanged(boolean isWritable);

  /** Factory of exchanges. */
  interface Factory {
    /** Starts to answer a request. */
    CallerExchange begin(CallerRequest request, AnswerChannel answers);
  }
}
