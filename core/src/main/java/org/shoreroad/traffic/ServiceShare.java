package org.shoreroad.traffic;

import java.util.Objects;

/**
 * The part of a route's requests that goes to one service.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param service the name of the service, not null
 * @param weight the part, relative to the other shares of the route, not negative
 * @since 0.2
 */
public record ServiceShare(String service, int weight) {
  /** Checks the parts. */
  public ServiceShare {
    Objects.requireNonNull(service, "service");
    if (weight < 0) {
      throw new IllegalArgumentException("weight is negative: " + weight);
    }
  }
}
