package org.shoreroad.daemon.kernel;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jboss.logging.Logger;

/**
 * A registry of the services of a process, which starts them in order and stops them in reverse
 * order.
 *
 * <p>Thread-safe after construction.
 *
 * @since 0.1
 */
public final class Kernel {
  private static final Logger LOG = Logger.getLogger(Kernel.class);

  private final Map<String, Service> serviceByName = new LinkedHashMap<>();

  /**
   * Creates a kernel.
   *
   * @param services the services in start order
   * @throws IllegalArgumentException if two services have the same name
   */
  public Kernel(Collection<? extends Service> services) {
    for (Service service : services) {
      if (serviceByName.put(service.name(), service) != null) {
        throw new IllegalArgumentException("two services named " + service.name());
      }
    }
  }

  /**
   * Returns the service of this name.
   *
   * @param name the name, not null
   * @param type its type, not null
   * @return the service
   * @throws IllegalArgumentException if there is no service of this name and type
   */
  public <T extends Service> T find(String name, Class<T> type) {
    Service service = serviceByName.get(name);
    if (!type.isInstance(service)) {
      throw new IllegalArgumentException("no service " + name + " of type " + type.getName());
    }
    return type.cast(service);
  }

  /** Starts all services. If one fails, stops all services and rethrows the exception. */
  public void start() {
    for (Service service : serviceByName.values()) {
      try {
        service.start(this);
      } catch (RuntimeException e) {
        stop();
        throw e;
      }
    }
  }

  /** Stops all services in reverse order, also if one of them fails to stop. */
  public void stop() {
    List<Service> reversed = new ArrayList<>(serviceByName.values());
    Collections.reverse(reversed);
    for (Service service : reversed) {
      try {
        service.stop();
      } catch (RuntimeException e) {
        LOG.errorf(e, "SR-0001 service %s failed to stop", service.name());
      }
    }
  }
}
