package org.shoreroad.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.HdrHistogram.Histogram;
import org.shoreroad.routing.Rendezvous;
import org.shoreroad.routing.UpstreamChooser;
import org.shoreroad.routing.UpstreamStats;

/**
 * Simulates ten upstreams with prompt caches under four routing policies: by load and prefix, by
 * prefix only, by load only, and at random. Optionally one upstream is ten times slower.
 *
 * <p>Time is simulated. A request whose prefix is cached takes a fifth of the time.
 */
final class RoutingPolicies {
  private static final int UPSTREAMS = 10;
  private static final int PREFIXES = 60;
  private static final int CACHE_SIZE = 12;
  private static final int REQUESTS = 40_000;
  private static final double SERVICE_MS = 40;
  private static final double ARRIVAL_EVERY_MS = 2.2;
  private static final double HIT_SHARE = 0.2;
  private static final double SLOW_FACTOR = 10;
  private static final int SLOTS = 8;

  private RoutingPolicies() {}

  /** The routing policy, which chooses the upstream of a request. */
  enum Policy {
    /** By load and prefix, as in the gateway. */
    OURS,
    /** Always the upstream that the prefix hashes to. */
    AFFINITY,
    /** Always the upstream with the fewest requests in flight. */
    LEAST_LOADED,
    /** A random upstream. */
    RANDOM
  }

  /**
   * The result of a run.
   *
   * @param hitShare the share of requests whose prefix was cached
   * @param p99Ms the 99th percentile of the response time, in milliseconds
   * @param slowShare the share of requests that went to the slow upstream
   */
  record Result(double hitShare, long p99Ms, double slowShare) {}

  private record Completion(double atMs, String upstream, double tookMs) {}

  /** Simulates a policy, optionally with one slow upstream. */
  static Result run(Policy policy, boolean isOneSlow, long seed) {
    Random random = new Random(seed);
    List<String> names = new ArrayList<>();
    Map<String, UpstreamStats> stats = new HashMap<>();
    Map<String, Set<String>> caches = new HashMap<>();
    Map<String, double[]> slots = new HashMap<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      names.add("u" + i);
      stats.put("u" + i, UpstreamStats.of(0));
      caches.put("u" + i, new LinkedHashSet<>());
      slots.put("u" + i, new double[SLOTS]);
    }
    PriorityQueue<Completion> completions =
        new PriorityQueue<>(Comparator.comparingDouble(Completion::atMs));
    Histogram times = new Histogram(3);
    int hits = 0;
    int slow = 0;
    double now = 0;
    for (int i = 0; i < REQUESTS; i++) {
      now += -Math.log(1 - random.nextDouble()) * ARRIVAL_EVERY_MS;
      while (!completions.isEmpty() && completions.peek().atMs() <= now) {
        Completion end = completions.poll();
        stats.computeIfPresent(end.upstream(), (n, s) -> s.withSuccess(end.tookMs()));
      }
      String prefix = "p" + (int) (PREFIXES * Math.pow(random.nextDouble(), 2));
      String chosen = choose(policy, names, stats, prefix, (long) (now * 1e6), random);
      stats.computeIfPresent(chosen, (n, s) -> s.withStarted());
      boolean isHit = touch(caches.get(chosen), prefix);
      boolean isSlow = isOneSlow && chosen.equals("u0");
      double serviceMs = SERVICE_MS * (isHit ? HIT_SHARE : 1) * (isSlow ? SLOW_FACTOR : 1);
      double endMs = occupySlot(slots.get(chosen), now, serviceMs);
      completions.add(new Completion(endMs, chosen, endMs - now));
      times.recordValue((long) (endMs - now));
      hits += isHit ? 1 : 0;
      slow += isSlow ? 1 : 0;
    }
    return new Result(
        hits / (double) REQUESTS, times.getValueAtPercentile(99), slow / (double) REQUESTS);
  }

  private static String choose(
      Policy policy,
      List<String> names,
      Map<String, UpstreamStats> stats,
      String prefix,
      long nowNanos,
      Random random) {
    return switch (policy) {
      case OURS -> UpstreamChooser.choose(names, stats, prefix, nowNanos).orElseThrow();
      case AFFINITY -> Rendezvous.choose(prefix, names, n -> n).orElseThrow();
      case LEAST_LOADED ->
          names.stream().min(Comparator.comparingInt(n -> stats.get(n).inFlight())).orElseThrow();
      case RANDOM -> names.get(random.nextInt(names.size()));
    };
  }

  /** Marks a prefix as most recently used; returns true if it was cached. */
  private static boolean touch(Set<String> cache, String prefix) {
    boolean isHit = cache.remove(prefix);
    cache.add(prefix);
    if (cache.size() > CACHE_SIZE) {
      cache.remove(new HashSet<>(List.of(cache.iterator().next())).iterator().next());
    }
    return isHit;
  }

  private static double occupySlot(double[] freeAt, double now, double serviceMs) {
    int first = 0;
    for (int i = 1; i < freeAt.length; i++) {
      first = freeAt[i] < freeAt[first] ? i : first;
    }
    freeAt[first] = Math.max(now, freeAt[first]) + serviceMs;
    return freeAt[first];
  }
}
