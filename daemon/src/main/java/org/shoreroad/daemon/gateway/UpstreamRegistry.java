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
 * The load statistics of each upstream and the retry budgets of the client accounts.
 *
 * <p>An upstream is a generation of a model or an address of a plain service. Thread-safe.
 */
final class UpstreamRegistry {
  private static final double NANOS_PER_MS = 1e6;
  private static final int MAX_UPSTREAMS = 10_000;

  private final Map<String, UpstreamStats> statsByUpstream = new ConcurrentHashMap<>();
  private final Map<String, RetryBudget> budgets = new ConcurrentHashMap<>();

  /** Returns the upstream for the next request, or empty if there is none. */
  Optional<String> choose(Collection<String> candidates, String prefixKey, long nowNanos) {
    return UpstreamChooser.choose(candidates, statsByUpstream, prefixKey, nowNanos);
  }

  /** Records that a request was sent to an upstream. */
  void start(String upstream, long nowNanos) {
    update(upstream, nowNanos, UpstreamStats::withStarted);
  }

  /** Records that a request succeeded at an upstream. */
  void succeed(String upstream, long durationNanos, long nowNanos) {
    update(upstream, nowNanos, stats -> stats.withSuccess(durationNanos / NANOS_PER_MS));
  }

  /** Records that a request failed at an upstream. */
  void fail(String upstream, long nowNanos) {
    update(upstream, nowNanos, stats -> stats.withFailure(nowNanos));
  }

  /** Records that a request ended for a reason that doesn't indicate the upstream's health. */
  void cancel(String upstream, long nowNanos) {
    update(upstream, nowNanos, UpstreamStats::withCancelled);
  }

  /** Returns the retry budget of a client account for a model or service. */
  RetryBudget budget(String account, String target) {
    return budgets.computeIfAbsent(account + ">" + target, k -> new RetryBudget());
  }

  private void update(String upstream, long nowNanos, UnaryOperator<UpstreamStats> change) {
    if (statsByUpstream.size() > MAX_UPSTREAMS) {
      statsByUpstream.values().removeIf(stats -> stats.inFlight() == 0);
    }
    statsByUpstream.compute(
        upstream, (k, stats) -> change.apply(stats == null ? UpstreamStats.of(nowNanos) : stats));
  }
}
