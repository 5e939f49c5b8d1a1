package org.shoreroad.limit;

/**
 * Change of an upstream's limit by an answer or a report.
 *
 * @since 0.2
 */
public enum LimitChange {
  /** The limit is the same, or the answer or report was outdated. */
  NONE,
  /** The upstream had no limit and has one now. */
  BEGUN,
  /** The limit has another rate. */
  CHANGED,
  /** The upstream has no limit any more. */
  ENDED
}
