package org.shoreroad.state;

/**
 * The reason for dissolving a generation.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.1
 */
public enum DissolveReason {
  /** A box of the replica was lost; running requests can't be finished. */
  BOX_LOST(false),
  /** A box didn't become ready to serve in time. */
  LOAD_FAILED(false),
  /** A box is leaving or is drained by operators; running requests are finished first. */
  BOX_LEAVING(true),
  /** The configuration no longer requires the replica; running requests are finished first. */
  NOT_WANTED(true);

  private final boolean isGraceful;

  DissolveReason(boolean isGraceful) {
    this.isGraceful = isGraceful;
  }

  /** Returns true if running requests must be finished before the boxes are unloaded. */
  public boolean isGraceful() {
    return isGraceful;
  }
}
