package org.shoreroad.edge.sync;

import java.util.Objects;

/**
 * Origin of the known engine state of a box.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param source where the state came from, not null
 * @param observedNanos when this process applied it, on the steady clock
 * @since 0.2
 */
public record StateOrigin(Source source, long observedNanos) {
  /** Creates an origin. */
  public StateOrigin {
    Objects.requireNonNull(source, "source");
  }

  /** Returns true if the engine itself has told this process the state. */
  public boolean isFromEngine() {
    return source == Source.REPORT || source == Source.ORDER;
  }

  /** Source of engine state. */
  public enum Source {
    /** The list of upstreams. */
    LIST,
    /** A report of the engine to this process. */
    REPORT,
    /** A report of the engine to another process. */
    PEER,
    /** The effect of an order that the engine has accepted. */
    ORDER
  }
}
