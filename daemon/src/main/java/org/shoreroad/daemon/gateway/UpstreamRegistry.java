package org.shoreroad.daemon.gateway;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.UnaryOperator;
import org.shoreroad.routing.RetryBudget;
import org.shoreroad.routing.UpstreamChooser;
import org.shoreroad.routing.UpstreamStats;

/**
 * What this gateway knows of each upstream, and the retry budget of each client account there.
 *
 * <p>An upstream is a generation of a model or an address of a plain service. Thread-safe.
 */
final class UpstreamRegistry {
  private static final double NANOS_PER_MS = 1e6;
  private static final int MAX_KNOWN = 10_000;

  private final Map<String, UpstreamStats> statsByUpstream = new ConcurrentHashMap<>();
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  /** Chooses one of the upstreams. */
  Optional<String> choose(Collection<String> candidates, String prefixKey, long nowNanos) {
    return UpstreamChooser.choose(candidates, statsByUpstream, prefixKey, nowNanos);
  }

  /** Notes that a request was sent there. */
  void start(String upstream, long nowNanos) {
    update(upstream, nowNanos, UpstreamStats::withStarted);
  }

  /** Notes that a request ended well there. */
  void succeed(String upstream, long tookNanos, long nowNanos) {
    update(upstream, nowNanos, stats -> stats.withSuccess(tookNanos / NANOS_PER_MS));
  }

  /** Notes that a request failed there. */
  void fail(String upstream, long nowNanos) {
    update(upstream, nowNanos, stats -> stats.withFailure(nowNanos));
  }

  /** Notes that a request ended there for a reason that says nothing of it. */
  void cancel(String upstream, long nowNanos) {
    update(upstream, nowNanos, UpstreamStats::withCancelled);
  }

  /** Returns the retry budget of a client account for a model or service. */
  RetryBudget budget(String account, String target) {
    return budgets.computeIfAbsent(account + ">" + target, k -> new RetryBudget());
  }

  private void update(String upstream, long nowNanos, UnaryOperator<UpstreamStats> change) {
    if (statsByUpstream.size() > MAX_KNOWN) {
      statsByUpstream.values().removeIf(stats -> stats.inFlight() == 0);
    }
    statsByUpstream.compute(
        upstream, (k, stats) -> change.apply(stats == null ? UpstreamStats.of(nowNanos) : stats));
  }
}
