package org.shoreroad.edge.sync;

/**
 * The numbers that this process gives to formations in one domain.
 *
 * <p>A number begins with the fencing number of the lease, and is higher than all that this process
 * has given before. It lasts over the leases of the process: the store may grant one again under
 * the fencing number that it had, and engines take formations of one number for the same. Used on
 * the event loop.
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
