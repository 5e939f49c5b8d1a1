package org.shoreroad.daemon.kernel;

/**
 * A part of the process with a name, a start and a stop.
 *
 * <p>A service looks other services up by name in {@link #start}, which the kernel calls in the
 * order of registration; it stops them in the reverse order.
 *
 * @since 0.1
 */
public interface Service {
  /** Returns the name by which other services find this one. */
  String name();

  /**
   * Starts the service.
   *
   * @param kernel where to find the others
   * @throws org.shoreroad.ShoreroadException if it can't start
   */
  void start(Kernel kernel);

  /** Stops the service; called once, from any thread. */
  void stop();
}
