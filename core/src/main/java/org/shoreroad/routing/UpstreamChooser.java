package org.shoreroad.routing;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * Chooses the upstream for a request.
 *
 * <p>Load counts first: own open requests, corrected by what the upstream last reported. An
 * upstream that has failed lately, or answers several times slower than the median, is passed over,
 * but never all of them. Among what is left, the one that rendezvous hashing gives for the prompt's
 * prefix is taken, unless its load is above the bound; then the least loaded is.
 *
 * <p>All methods are pure and thread-safe.
 *
 * @since 0.1
 */
public final class UpstreamChooser {
  private static final double SLOW_FACTOR = 3;
  private static final double SLOW_MARGIN_MS = 20;
  private static final double AFFINITY_LOAD_BOUND = 1.5;
  private static final int AFFINITY_LOAD_SLACK = 2;

  private UpstreamChooser() {}

  /**
   * Chooses an upstream.
   *
   * @param candidates the names of the upstreams, not null
   * @param stats what is known of each; one that is missing counts as unknown
   * @param prefixKey the hash key of the prompt's prefix, or an empty text for none
   * @param nowNanos the monotonic time
   * @return the upstream, or empty only if there is no candidate
   */
  public static Optional<String> choose(
      Collection<String> candidates,
      Map<String, UpstreamStats> stats,
      String prefixKey,
      long nowNanos) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    UpstreamStats unknown = UpstreamStats.of(nowNanos);
    List<String> ordered = candidates.stream().sorted().toList();
    List<String> usable = findUsable(ordered, stats, unknown, nowNanos);
    ToLongFunction<String> load =
        name -> {
          UpstreamStats s = stats.getOrDefault(name, unknown);
          return (long) s.inFlight() + s.reportedLoad();
        };
    // The prefix's own upstream, while its load is near the mean.
    if (!prefixKey.isEmpty()) {
      Optional<String> home = Rendezvous.choose(prefixKey, usable, name -> name);
      double mean = usable.stream().mapToLong(load).average().orElse(0);
      double bound = mean * AFFINITY_LOAD_BOUND + AFFINITY_LOAD_SLACK;
      if (home.isPresent() && load.applyAsLong(home.get()) <= bound) {
        return home;
      }
    }
    // Else the least loaded; of equals, the faster.
    return usable.stream()
        .min(
            java.util.Comparator.comparingLong(load)
                .thenComparingDouble(n -> stats.getOrDefault(n, unknown).latencyMs()));
  }

  private static List<String> findUsable(
      List<String> candidates,
      Map<String, UpstreamStats> stats,
      UpstreamStats unknown,
      long nowNanos) {
    double median = medianLatencyMs(candidates, stats, unknown);
    double limitMs = median * SLOW_FACTOR + SLOW_MARGIN_MS;
    List<String> notAvoided =
        candidates.stream()
            .filter(name -> !stats.getOrDefault(name, unknown).isAvoided(nowNanos))
            .toList();
    List<String> fast =
        notAvoided.stream()
            .filter(name -> median == 0 || isFastEnough(stats, unknown, name, limitMs))
            .toList();
    if (!fast.isEmpty()) {
      return fast;
    }
    return notAvoided.isEmpty() ? candidates : notAvoided;
  }

  private static boolean isFastEnough(
      Map<String, UpstreamStats> stats, UpstreamStats unknown, String name, double limitMs) {
    UpstreamStats s = stats.getOrDefault(name, unknown);
    // A slow upstream is still tried with one request at a time, or it could never return.
    return s.latencyMs() <= limitMs || s.inFlight() == 0;
  }

  private static double medianLatencyMs(
      List<String> candidates, Map<String, UpstreamStats> stats, UpstreamStats unknown) {
    double[] known =
        candidates.stream()
            .mapToDouble(name -> stats.getOrDefault(name, unknown).latencyMs())
            .filter(ms -> ms > 0)
            .sorted()
            .toArray();
    return known.length == 0 ? 0 : known[(known.length - 1) / 2];
  }
}
