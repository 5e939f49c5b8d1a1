package org.shoreroad.member;

/**
 * What is believed of a process.
 *
 * <p>This enum is immutable and thread-safe.
 *
 * @since 0.1
 */
public enum PeerStatus {
  /** It answers. */
  ALIVE,
  /** It answers, and said that it is stopping: it takes on nothing new. */
  LEAVING,
  /** It did not answer, neither directly nor by way of others; it may still object. */
  SUSPECT,
  /** It did not object in time. */
  DEAD
}
