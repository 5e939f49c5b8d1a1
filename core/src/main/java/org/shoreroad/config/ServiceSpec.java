package org.shoreroad.config;

import java.util.List;

/**
 * A plain service beside the model engines: an upstream without replicas.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the service's name, the first part of the path after {@code /services/}
 * @param addresses the addresses that answer for it, each {@code host:port}
 * @param maxRunning how many requests one address is sent at a time by one process, 1 or more
 * @since 0.1
 */
public record ServiceSpec(String name, List<String> addresses, int maxRunning)
    implements ConfigEntry {
  /** Copies the list. */
  public ServiceSpec {
    addresses = List.copyOf(addresses);
  }

  @Override
  public String key() {
    return "service/" + name;
  }
}
