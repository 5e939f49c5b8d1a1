package org.shoreroad.traffic;

/**
 * Kind of a request: how often it may run, and whether its answer is a stream.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.2
 */
public enum RequestKind {
  /** May run more than once; the answer is one body. */
  REPEATABLE,
  /** May run at most once; the answer is one body. */
  ONCE,
  /** May run at most once, unless its route is resumable; the answer is a stream of events. */
  STREAM
}
