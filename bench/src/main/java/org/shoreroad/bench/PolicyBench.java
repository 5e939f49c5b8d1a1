package org.shoreroad.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shoreroad.queue.FairQueue;
import org.shoreroad.queue.QueuedItem;
import org.shoreroad.routing.UpstreamChooser;
import org.shoreroad.routing.UpstreamStats;

/** Compares queueing, retries and routing with baselines, and measures the time per decision. */
final class PolicyBench {
  private static final long SEED = 7;
  private static final int ROUNDS = 41;
  private static final int BATCH = 1_000;

  private PolicyBench() {}

  static void run(Report report) {
    report.title("queue: 1.5 times overload, a tenth bulletins; ten accounts, one at ten times");
    for (boolean isFair : new boolean[] {false, true}) {
      QueuePolicies.Result overload = QueuePolicies.overload(isFair, SEED);
      report.line(
          "%s: bulletin p99 wait %d ms, bulletins refused %d, lookups served %d; Jain %.3f",
          isFair ? "fair" : "fifo",
          overload.bulletinP99WaitMs(),
          overload.bulletinsRefused(),
          overload.lookupsServed(),
          QueuePolicies.unevenAccounts(isFair, SEED).jain());
    }
    report.title("retries: 30 s brownout to a fifth");
    for (boolean hasBudget : new boolean[] {false, true}) {
      RetryPolicies.Result result = RetryPolicies.run(hasBudget, SEED);
      report.line(
          "%s: amplification %.2f, goodput back to 95 %% after %d ms",
          hasBudget ? "budget" : "three retries", result.amplification(), result.recoveryMs());
    }
    report.title("routing: ten upstreams with prompt caches; then one of them ten times slower");
    for (RoutingPolicies.Policy policy : RoutingPolicies.Policy.values()) {
      RoutingPolicies.Result even = RoutingPolicies.run(policy, false, SEED);
      RoutingPolicies.Result slow = RoutingPolicies.run(policy, true, SEED);
      report.line(
          "%s: hits %.2f, p99 %d ms; one slow: %.3f of the requests there, p99 %d ms",
          policy, even.hitShare(), even.p99Ms(), slow.slowShare(), slow.p99Ms());
    }
    decisionCosts(report);
  }

  private static void decisionCosts(Report report) {
    List<Slope.Point> points = new ArrayList<>();
    for (int size : new int[] {10, 100, 1_000}) {
      Map<String, UpstreamStats> stats = new HashMap<>();
      for (int i = 0; i < size; i++) {
        stats.put("u" + i, UpstreamStats.of(0).withSuccess(i % 7 + 1).withStarted());
      }
      List<String> names = List.copyOf(stats.keySet());
      double micros =
          Timing.medianNanos(ROUNDS, () -> UpstreamChooser.choose(names, stats, "p", 0)) / 1e3;
      points.add(new Slope.Point(size, micros));
      report.line("a choice among %d: %.1f us", size, micros);
    }
    report.slope("routing decision, us", "candidates", Slope.of(points));
    FairQueue<Integer> queue = new FairQueue<>(BATCH);
    double nanos =
        Timing.medianNanos(
                ROUNDS,
                () -> {
                  for (int i = 0; i < BATCH; i++) {
                    queue.offer(new QueuedItem<>(i, "a" + i % 10, 1, i % 3, 5, Long.MAX_VALUE));
                  }
                  int taken = 0;
                  while (queue.poll().isPresent()) {
                    taken++;
                  }
                  return taken;
                })
            / BATCH;
    report.line("enqueue and dequeue: %.0f ns", nanos);
  }
}
