package org.shoreroad.quarantine;

import java.util.Objects;
import org.shoreroad.fleet.Incarnation;

/**
 * End of a connection to an upstream while a request was open on it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param upstream the upstream, not null; one that starts again is another one
 * @param hadBegun true if the upstream had begun to answer the request, so that it was running it
 * @since 0.2
 */
public record Crash(Incarnation upstream, boolean hadBegun) {
  /** Checks that the upstream is there. */
  public Crash {
    Objects.requireNonNull(upstream, "upstream");
  }

  /**
   * Returns how much the crash tells against the request. Without a byte of the answer the request
   * most likely waited behind others: of 32 requests that were open at an upstream's end up to 18
   * ran there. But an upstream may also crash before it answers, so it is not nothing.
   */
  int weight() {
    return hadBegun ? 2 : 1;
  }
}
