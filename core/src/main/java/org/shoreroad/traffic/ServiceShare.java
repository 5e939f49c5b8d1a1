package org.shoreroad.traffic;

import java.util.Objects;

/**
 * Share of a route's requests that one service receives.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param service the name of the service, not null
 * @param weight the weight relative to the other shares of the route, not negative
 * @since 0.2
 */
public record ServiceShare(String service, int weight) {
  /** Checks the service and the weight. */
  public ServiceShare {
    Objects.requireNonNull(service, "service");
    if (weight < 0) {
      throw new IllegalArgumentException("weight is negative: " + weight);
    }
  }
}
