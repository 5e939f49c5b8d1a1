package org.shoreroad.daemon.peer;

/**
 * What became of a claim to run a request that may not be repeated.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.1
 */
public enum ClaimResult {
  /** The intent is in the log and is the first: its request may be run, once. */
  WON,
  /** Another intent was first, and its request may be running or have run. */
  LOST_STARTED,
  /** Another intent was first, and its request ran to its end. */
  LOST_FINISHED,
  /** The log did not take the intent in time; nobody may run it under this intent. */
  UNAVAILABLE
}
