package org.shoreroad.edge.sync;

/**
 * The reason why a call to the store failed.
 *
 * @since 0.2
 */
public enum StoreFault {
  /** The requested records are no longer stored; list the newest record of each key instead. */
  TRIMMED,
  /** The store refused the call and executed nothing. */
  REFUSED,
  /** No answer arrived; the call may have been executed, or may still be. */
  NO_ANSWER,
  /** The answer arrived after one of a later era; its content may no longer exist. */
  FORMER_ERA,
  /** The answer could not be decoded. */
  MALFORMED
}
