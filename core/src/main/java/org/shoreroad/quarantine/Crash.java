package org.shoreroad.quarantine;

import java.util.Objects;
import org.shoreroad.fleet.Incarnation;

/**
 * End of a connection to an upstream while a request was open on it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param upstream the upstream, not null; after a restart it counts as another one
 * @param hadBegun true if the upstream had begun to answer the request, so that it was running it
 * @since 0.2
 */
public record Crash(Incarnation upstream, boolean hadBegun) {
  /** Checks that the upstream isn't null. */
  public Crash {
    Objects.requireNonNull(upstream, "upstream");
  }

  /**
   * Returns the weight of the crash as evidence against the request. Before the first byte of the
   * answer the request most likely waited behind others: of 32 requests that are open when an
   * upstream crashes, at most 18 are running. An upstream may also crash before it answers, so that
   * such a crash still counts for half.
   */
  int weight() {
    return hadBegun ? 2 : 1;
  }
}
