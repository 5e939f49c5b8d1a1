package org.shoreroad.edge.sync;

/**
 * Generator of the formation numbers of this process in one domain.
 *
 * <p>A number begins with the fencing number of the lease and is higher than all earlier ones of
 * this process. One generator serves all leases of the process in the domain: the store may grant a
 * lease again under the same fencing number, and engines treat formations with the same number as
 * one. Not thread-safe: used on the event loop.
 */
final class FormationNumbers {
  /** Number of bits for the formations under one fencing number. */
  private static final int SEQUENCE_BITS = 20;

  private long last;

  /**
   * Returns the next number.
   *
   * @param fencingNumber the fencing number of the lease that is held now
   */
  long next(long fencingNumber) {
    last = Math.max(last, fencingNumber << SEQUENCE_BITS) + 1;
    return last;
  }
}
