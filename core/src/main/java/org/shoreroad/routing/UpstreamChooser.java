package org.shoreroad.routing;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the upstream for a request.
 *
 * <p>An upstream that failed recently, or whose latency is several times the median, is excluded,
 * unless this would exclude all. Of the others, the upstream that rendezvous hashing selects for
 * the prompt's prefix is chosen if its load is within a bound, otherwise the least loaded one. The
 * load is the number of this process's own open requests plus the last load that the upstream
 * reported.
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
   * @param stats the stats by upstream name; an upstream without an entry counts as new
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
    UpstreamStats noStats = UpstreamStats.of(nowNanos);
    List<Candidate> all =
        candidates.stream()
            .map(name -> new Candidate(name, stats.getOrDefault(name, noStats)))
            .toList();
    List<Candidate> usable = findUsable(all, nowNanos);
    // Prefix affinity, while the load of that upstream is near the mean.
    if (!prefixKey.isEmpty()) {
      Optional<Candidate> preferred = Rendezvous.choose(prefixKey, usable, Candidate::name);
      double mean = usable.stream().mapToLong(Candidate::load).average().orElse(0);
      double bound = mean * AFFINITY_LOAD_BOUND + AFFINITY_LOAD_SLACK;
      if (preferred.isPresent() && preferred.get().load() <= bound) {
        return preferred.map(Candidate::name);
      }
    }
    // Otherwise the least loaded upstream; ties go to the lower latency.
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

  /** A slow upstream still gets one request at a time, to measure whether it has recovered. */
  private static boolean isFastEnough(UpstreamStats stats, double limitMs) {
    return stats.latencyMs() <= limitMs || stats.inFlight() == 0;
  }

  private static double medianLatencyMs(List<Candidate> candidates) {
    double[] latencies =
        candidates.stream()
            .mapToDouble(c -> c.stats().latencyMs())
            .filter(ms -> ms > 0)
            .sorted()
            .toArray();
    return latencies.length == 0 ? 0 : latencies[(latencies.length - 1) / 2];
  }
}
