package org.shoreroad.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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
    List<Candidate> all =
        candidates.stream()
            .map(name -> new Candidate(name, stats.getOrDefault(name, unknown)))
            .toList();
    List<Candidate> usable = findUsable(all, nowNanos);
    // The prefix's own upstream, while its load is near the mean.
    if (!prefixKey.isEmpty()) {
      Optional<Candidate> home = Rendezvous.choose(prefixKey, usable, Candidate::name);
      double mean = usable.stream().mapToLong(Candidate::load).average().orElse(0);
      double bound = mean * AFFINITY_LOAD_BOUND + AFFINITY_LOAD_SLACK;
      if (home.isPresent() && home.get().load() <= bound) {
        return home.map(Candidate::name);
      }
    }
    // Else the least loaded; of equals, the faster.
    return usable.stream().min(Candidate.BY_LOAD).map(Candidate::name);
  }

  private record Candidate(String name, UpstreamStats stats) {
    private static final Comparator<Candidate> BY_LOAD =
        Comparator.comparingLong(Candidate::load)
            .thenComparingDouble(c -> c.stats().latencyMs())
            .thenComparing(Candidate::name);

    long load() {
      return (long) stats.inFlight() + stats.reportedLoad();
    }
  }

  private static List<Candidate> findUsable(List<Candidate> candidates, long nowNanos) {
    double median = medianLatencyMs(candidates);
    double limitMs = median * SLOW_FACTOR + SLOW_MARGIN_MS;
    List<Candidate> notAvoided =
        candidates.stream().filter(c -> !c.stats().isAvoided(nowNanos)).toList();
    List<Candidate> fast =
        notAvoided.stream().filter(c -> median == 0 || isFastEnough(c.stats(), limitMs)).toList();
    if (!fast.isEmpty()) {
      return fast;
    }
    return notAvoided.isEmpty() ? candidates : notAvoided;
  }

  /** A slow upstream is still tried with one request at a time, or it could never return. */
  private static boolean isFastEnough(UpstreamStats stats, double limitMs) {
    return stats.latencyMs() <= limitMs || stats.inFlight() == 0;
  }

  private static double medianLatencyMs(List<Candidate> candidates) {
    double[] known =
        candidates.stream()
            .mapToDouble(c -> c.stats().latencyMs())
            .filter(ms -> ms > 0)
            .sorted()
            .toArray();
    return known.length == 0 ? 0 : known[(known.length - 1) / 2];
  }
}
