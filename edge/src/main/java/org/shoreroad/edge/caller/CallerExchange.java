package org.shoreroad.edge.caller;

/**
 * One request between its arrival and its answer; used on the event loop.
 *
 * @since 0.2
 */
public interface CallerExchange {
  /** Tells that the caller has gone: whatever runs for it is to stop. */
  void onCallerGone();

  /** Tells that the caller reads again, or reads too slowly. */
  void onWritabilityChanged(boolean isWritable);

  /** Begins exchanges. */
  interface Factory {
    /** Begins to answer a request. */
    CallerExchange begin(CallerRequest request, AnswerChannel answers);
  }
}
