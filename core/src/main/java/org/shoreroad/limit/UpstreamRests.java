package org.shoreroad.limit;

import java.util.HashMap;
import java.util.Map;
import org.shoreroad.fleet.Incarnation;

/**
 * The upstreams that want no request from this process for a time.
 *
 * <p>The load that it answers: upstreams that turn away all that comes. They have nothing open and
 * look free, so they draw more requests than those that serve, and a request that is sent from one
 * to the next uses up its attempts. Kept by incarnation, apart from what else is known of an
 * upstream: a new formation, a lost connection or another entry in the list ends no rest.
 *
 * <p>It reads no clock: times are passed in, in nanoseconds of the steady clock. Used by one
 * thread.
 *
 * @since 0.2
 */
public final class UpstreamRests {
  private final Map<Incarnation, Long> untilNanos = new HashMap<>();

  /** Notes that an upstream asks for rest; a longer one that it has asked for before goes on. */
  public void begin(Incarnation upstream, RestTime rest, long nowNanos) {
    untilNanos.values().removeIf(until -> until <= nowNanos);
    untilNanos.merge(upstream, nowNanos + rest.nanos(), Math::max);
  }

  /** Returns true if the upstream wants no request from this process now. */
  public boolean isResting(Incarnation upstream, long nowNanos) {
    Long until = untilNanos.get(upstream);
    return until != null && nowNanos < until;
  }

  /** Returns true if no upstream rests, as is usual, so that none need be asked for. */
  public boolean isEmpty() {
    return untilNanos.isEmpty();
  }
}
