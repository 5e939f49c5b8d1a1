package org.shoreroad.state;

/**
 * Why a generation ends.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.1
 */
public enum DissolveReason {
  /** A box of it went missing; running requests can't be finished. */
  BOX_LOST(false),
  /** A box could not be brought to serve in time. */
  LOAD_FAILED(false),
  /** A box of it is leaving or drained by operators; running requests are finished first. */
  BOX_LEAVING(true),
  /** The configuration no longer wants it; running requests are finished first. */
  NOT_WANTED(true);

  private final boolean isGraceful;

  DissolveReason(boolean isGraceful) {
    this.isGraceful = isGraceful;
  }

  /** Returns true if running requests are to be finished before the boxes are unloaded. */
  public boolean isGraceful() {
    return isGraceful;
  }
}
