package org.shoreroad.daemon.peer;

/**
 * The result of a claim to run a request that must run at most once.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.1
 */
public enum ClaimResult {
  /** The intent is the first one in the log; its request may run, once. */
  WON,
  /** Another intent was first; its request may be running or may have run. */
  LOST_STARTED,
  /** Another intent was first; its request ran to its end. */
  LOST_FINISHED,
  /**
   * The intent was not confirmed in the log in time; the request must not run under this intent.
   */
  UNAVAILABLE
}
