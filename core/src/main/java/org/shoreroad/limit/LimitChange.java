package org.shoreroad.limit;

/**
 * What an answer or a report has changed in the limit of an upstream.
 *
 * @since 0.2
 */
public enum LimitChange {
  /** Nothing, or it was older than what is known. */
  NONE,
  /** The upstream had no limit and has one. */
  BEGUN,
  /** The limit is another one. */
  CHANGED,
  /** The upstream has no limit any more. */
  ENDED
}
