package org.shoreroad.limit;

import java.util.HashMap;
import java.util.Map;
import org.shoreroad.fleet.Incarnation;

/**
 * Upstreams that have asked this process to send nothing for a time.
 *
 * <p>The load that it answers: upstreams that reject every request. They have nothing open and look
 * idle, so they attract more requests than the upstreams that serve, and a request that is sent
 * from one to the next uses up its attempts. Rests are kept by incarnation and separately from the
 * load: a new formation, a lost connection or another entry in the list ends no rest.
 *
 * <p>This class reads no clock: times are passed in, in nanoseconds of the steady clock. Used by
 * one thread.
 *
 * @since 0.2
 */
public final class UpstreamRests {
  private final Map<Incarnation, Long> untilNanos = new HashMap<>();

  /** Begins a rest; a longer one that the upstream asked for earlier stays in force. */
  public void begin(Incarnation upstream, RestTime rest, long nowNanos) {
    untilNanos.values().removeIf(until -> until <= nowNanos);
    untilNanos.merge(upstream, nowNanos + rest.nanos(), Math::max);
  }

  /** Returns true while a rest of the upstream lasts. */
  public boolean isResting(Incarnation upstream, long nowNanos) {
    Long until = untilNanos.get(upstream);
    return until != null && nowNanos < until;
  }

  /** Returns true if no upstream rests, as is usual, so that none need be asked for. */
  public boolean isEmpty() {
    return untilNanos.isEmpty();
  }
}
