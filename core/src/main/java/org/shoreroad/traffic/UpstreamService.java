package org.shoreroad.traffic;

import java.util.Objects;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.EngineSpec;

/**
 * Service whose upstreams process requests: a plain one, or one whose boxes form replicas.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the name of the service, not null
 * @param maxConnections the maximum connections of all processes together to one upstream
 * @param engine the specification of its engines, or null for a plain service
 * @since 0.2
 */
public record UpstreamService(String name, int maxConnections, @Nullable EngineSpec engine) {
  /** Checks that the name isn't null. */
  public UpstreamService {
    Objects.requireNonNull(name, "name");
  }
}
