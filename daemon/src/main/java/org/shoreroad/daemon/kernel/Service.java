package org.shoreroad.daemon.kernel;

/**
 * A component of the process that the kernel starts and stops.
 *
 * <p>The kernel starts services in the order of registration and stops them in reverse order. A
 * service can look up other services by name in {@link #start}.
 *
 * @since 0.1
 */
public interface Service {
  /** Returns the unique name of this service, for {@link Kernel#find}. */
  String name();

  /**
   * Starts the service.
   *
   * @param kernel the registry of all services
   * @throws org.shoreroad.ShoreroadException if it can't start
   */
  void start(Kernel kernel);

  /** Stops the service; called once, from any thread. */
  void stop();
}
