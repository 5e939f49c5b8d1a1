package org.shoreroad.fleet;

/**
 * State of a box in its replica, as its engine reports it.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.2
 */
public enum MemberState {
  /** The box loads the weights. */
  JOINING,
  /** The box holds the weights and takes no requests. */
  READY,
  /** The head takes requests. */
  OPEN,
  /** The head finishes its running requests and takes no new ones. */
  CLOSING,
  /** The engine found that a member is lost. */
  BROKEN;

  /** Returns true if requests may be running at a head in this state. */
  public boolean isServing() {
    return this == OPEN || this == CLOSING;
  }
}
