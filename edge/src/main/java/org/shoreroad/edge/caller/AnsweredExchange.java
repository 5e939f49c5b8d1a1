package org.shoreroad.edge.caller;

/**
 * Exchange of a request that needs nothing of its caller: it was answered at once, or its answer
 * does not depend on whether the caller stays.
 *
 * <p>Thread-safe, since it has no state.
 *
 * @since 0.2
 */
public enum AnsweredExchange implements CallerExchange {
  /** The only instance. */
  INSTANCE;

  @Override
  public void onCallerGone() {
    // Nothing runs for it that could be stopped.
  }

  @Override
  public void onWritabilityChanged(boolean isWritable) {
    // Its answers are small.
  }
}
