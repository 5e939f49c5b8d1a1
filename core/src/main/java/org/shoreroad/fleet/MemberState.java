package org.shoreroad.fleet;

/**
 * Where a box stands in the life of its replica, as its engine tells it.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.2
 */
public enum MemberState {
  /** Loads the weights. */
  JOINING,
  /** Holds the weights; no requests are taken. */
  READY,
  /** The head takes requests. */
  OPEN,
  /** The head ends what it has and takes nothing new. */
  CLOSING,
  /** The engine found that a member is lost. */
  BROKEN;

  /** Returns true if requests may be running at a head in this state. */
  public boolean isServing() {
    return this == OPEN || this == CLOSING;
  }
}
