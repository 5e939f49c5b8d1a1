package org.shoreroad.limit;

import java.util.HashMap;
import java.util.Map;
import org.shoreroad.fleet.Incarnation;

/**
 * Rests: times during which upstreams have asked this process to send them nothing.
 *
 * <p>An upstream that rejects every request has no open requests and looks idle. Without a rest it
 * would attract more requests than the upstreams that serve, and a request that is rejected by one
 * after another would use up its attempts. Rests are kept by incarnation and separately from the
 * load, so that a new formation, a lost connection or another entry in the list doesn't end them.
 *
 * <p>This class reads no clock: times are passed in, in nanoseconds of the monotonic clock. Not
 * thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class UpstreamRests {
  private final Map<Incarnation, Long> untilNanos = new HashMap<>();

  /** Begins a rest; an earlier one that ends later stays in force. */
  public void begin(Incarnation upstream, RestTime rest, long nowNanos) {
    untilNanos.values().removeIf(until -> until <= nowNanos);
    untilNanos.merge(upstream, nowNanos + rest.nanos(), Math::max);
  }

  /** Returns true while the upstream has a rest in force. */
  public boolean isResting(Incarnation upstream, long nowNanos) {
    Long until = untilNanos.get(upstream);
    return until != null && nowNanos < until;
  }

  /** Returns true if there are no rests, the usual case, in which callers can skip the look-ups. */
  public boolean isEmpty() {
    return untilNanos.isEmpty();
  }
}
