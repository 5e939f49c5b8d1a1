package org.shoreroad.edge.caller;

/**
 * Exchange that ignores events of the caller's connection: its request was answered at once, or the
 * answer does not depend on whether the caller stays connected.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.2
 */
public enum AnsweredExchange implements CallerExchange {
  /** The only instance. */
  INSTANCE;

  @Override
  public void onCallerGone() {
    // There is no work to stop.
  }

  @Override
  public void onWritabilityChanged(boolean isWritable) {
    // The answers are small.
  }
}
