package org.shoreroad.member;

/**
 * Status of a process in the view of another one, in order of severity.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.1
 */
public enum PeerStatus {
  /** Answers pings. */
  ALIVE,
  /** Answers pings, but has announced that it is stopping and accepts no new work. */
  LEAVING,
  /** Answered neither a direct nor an indirect ping; can still refute the suspicion. */
  SUSPECT,
  /** Did not refute the suspicion in time. */
  DEAD
}
