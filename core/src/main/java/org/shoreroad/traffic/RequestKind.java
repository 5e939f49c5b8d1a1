package org.shoreroad.traffic;

/**
 * Says how often a request may run and what its answer is made of.
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
  /** The answer is a stream of events; runs at most once unless its route lets it be resumed. */
  STREAM
}
