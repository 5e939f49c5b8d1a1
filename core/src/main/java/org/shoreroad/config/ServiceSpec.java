package org.shoreroad.config;

import java.util.List;

/**
 * A service other than the model engines: an upstream without replicas.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the service's name, the first part of the path after {@code /services/}
 * @param addresses the addresses of the service, each {@code host:port}
 * @param maxRunning the maximum number of requests that one process has running at one address, 1
 *     or more
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
