package org.shoreroad.admission;

/**
 * How the use of granted room ended.
 *
 * @since 0.2
 */
public enum GrantEnd {
  /** The upstream completed its answer, or the request was cancelled after it had begun. */
  USED,
  /** The request was not sent: the caller left, or the head could not be used. */
  UNUSED,
  /** The upstream rejected the request because it was full. */
  REJECTED,
  /** The upstream failed. */
  FAILED
}
