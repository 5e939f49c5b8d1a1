package org.shoreroad.quarantine;

import java.util.Objects;
import org.shoreroad.fleet.Incarnation;

/**
 * End of an upstream that had a request.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param upstream the upstream, not null; after a restart it counts as another one
 * @param hadJustBegun true if the upstream had begun to answer the request a short time before, as
 *     it does if the request crashes it. If not, the request may have waited behind the one that
 *     did, or may crash upstreams before they answer
 * @since 0.2
 */
public record Crash(Incarnation upstream, boolean hadJustBegun) {
  /** Checks that the upstream isn't null. */
  public Crash {
    Objects.requireNonNull(upstream, "upstream");
  }
}
