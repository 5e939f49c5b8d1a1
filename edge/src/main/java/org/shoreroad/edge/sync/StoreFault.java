package org.shoreroad.edge.sync;

/**
 * Why a call to the store brought nothing.
 *
 * @since 0.2
 */
public enum StoreFault {
  /** The records asked for are no longer kept: begin anew from the newest of each key. */
  TRIMMED,
  /** The store refused the call; nothing was done. */
  REFUSED,
  /** No answer came: the call may have been done, or may still be. */
  NO_ANSWER,
  /** The answer came after one of a later era: what it tells may be gone. */
  FORMER_ERA,
  /** The answer could not be read. */
  MALFORMED
}
