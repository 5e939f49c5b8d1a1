package org.shoreroad.edge.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.limit.RequestLimit;

/**
 * The limits that upstreams name in their answers, as this process has read them: written to the
 * log when one is first named, changes or ends, and to the counters with each request that is sent
 * to a limited upstream.
 *
 * <p>Used on the event loop.
 *
 * @since 0.2
 */
public final class RequestLimits {
  private final Map<Incarnation, RequestLimit> limits = new HashMap<>();
  private final EventLog log;
  private final RelayCounters counters;

  /** Creates a table without limits. */
  public RequestLimits(EventLog log, RelayCounters counters) {
    this.log = log;
    this.counters = counters;
  }

  /**
   * Takes what an upstream's answer says of its limit.
   *
   * @param upstream who answered, not null
   * @param text the limit as the answer names it, or null if it names none
   */
  void recordAnswer(Incarnation upstream, @Nullable String text) {
    if (text == null) {
      if (limits.remove(upstream) != null) {
        log.write("upstream_limit_ended", "upstream", upstream.id(), "bornMs", upstream.bornMs());
      }
      return;
    }
    Optional<RequestLimit> limit = RequestLimit.parse(text);
    if (limit.isEmpty()) {
      counters.count("shoreroad.upstreams.unreadable_requests", "limit");
      return;
    }
    if (!limit.get().equals(limits.put(upstream, limit.get()))) {
      log.write(
          "upstream_limit",
          "upstream",
          upstream.id(),
          "bornMs",
          upstream.bornMs(),
          "perSecond",
          limit.get().perSecond());
    }
  }

  /** Counts a request that leaves for an upstream. */
  void recordSent(Incarnation upstream) {
    if (limits.containsKey(upstream)) {
      counters.count("shoreroad.attempts.to_limited", "sent");
    }
  }
}
