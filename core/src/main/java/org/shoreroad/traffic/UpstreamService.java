package org.shoreroad.traffic;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.EngineSpec;

/**
 * A service whose upstreams take requests: a plain one, or one whose boxes form replicas.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the service's name, not null
 * @param maxConnections the connections that one upstream takes from all processes together
 * @param engine the figures of its engines, or null for a plain service
 * @since 0.2
 */
public record UpstreamService(String name, int maxConnections, @Nullable EngineSpec engine) {
  /** Checks that the name is there. */
  public UpstreamService {
    Objects.requireNonNull(name, "name");
  }
}
