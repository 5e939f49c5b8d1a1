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
 * @param coldStart what an upstream bears while it is cold, or null if there is no such bound
 * @since 0.2
 */
public record UpstreamService(
    String name, int maxConnections, @Nullable EngineSpec engine, @Nullable ColdStart coldStart) {
  /** Checks that the name isn't null. */
  public UpstreamService {
    Objects.requireNonNull(name, "name");
  }

  /** Creates a service whose upstreams bear their full load from the start. */
  public UpstreamService(String name, int maxConnections, @Nullable EngineSpec engine) {
    this(name, maxConnections, engine, null);
  }
}
