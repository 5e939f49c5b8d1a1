package org.shoreroad.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shoreroad.placement.ListedBox;
import org.shoreroad.placement.Planner;

/** Bounds on the results of the policies, in deterministic seeded runs. */
class PolicyBoundsTest {
  private static final long SEED = 7;

  @Test
  void testQueue_bulletinsWaitLittleUnderOverload() {
    QueuePolicies.Result fair = QueuePolicies.overload(true, SEED);
    QueuePolicies.Result fifo = QueuePolicies.overload(false, SEED);
    assertThat(fair.bulletinP99WaitMs() * 20, lessThan(fifo.bulletinP99WaitMs()));
    assertThat(fair.bulletinsRefused(), lessThanOrEqualTo(0));
    assertThat(fair.lookupsServed(), greaterThan(fifo.lookupsServed() * 8 / 10));
  }

  @Test
  void testQueue_floodingAccountGetsOnlyItsShare() {
    assertThat(QueuePolicies.unevenAccounts(true, SEED).jain(), greaterThan(0.95));
    assertThat(QueuePolicies.unevenAccounts(false, SEED).jain(), lessThan(0.6));
  }

  @Test
  void testRetries_budgetLimitsAmplification() {
    RetryPolicies.Result ours = RetryPolicies.run(true, SEED);
    RetryPolicies.Result naive = RetryPolicies.run(false, SEED);
    assertThat(ours.amplification(), lessThan(1.12));
    assertThat(ours.recoveryMs(), lessThanOrEqualTo(5_000L));
    assertThat(naive.amplification(), greaterThan(2.0));
  }

  @Test
  void testRouting_cacheHitsAboveLeastLoadedAndTailWithinAffinity() {
    RoutingPolicies.Result ours = RoutingPolicies.run(RoutingPolicies.Policy.OURS, false, SEED);
    RoutingPolicies.Result load =
        RoutingPolicies.run(RoutingPolicies.Policy.LEAST_LOADED, false, SEED);
    RoutingPolicies.Result affinity =
        RoutingPolicies.run(RoutingPolicies.Policy.AFFINITY, false, SEED);
    assertThat(ours.hitShare(), greaterThan(load.hitShare() * 1.5));
    assertThat(ours.p99Ms(), lessThanOrEqualTo(affinity.p99Ms()));
  }

  @Test
  void testRouting_slowUpstreamGetsFewRequests() {
    RoutingPolicies.Result ours = RoutingPolicies.run(RoutingPolicies.Policy.OURS, true, SEED);
    RoutingPolicies.Result any = RoutingPolicies.run(RoutingPolicies.Policy.RANDOM, true, SEED);
    assertThat(ours.slowShare() * 4, lessThan(any.slowShare()));
  }

  @Test
  void testPlacement_downtimeNoWorseThanFirstFit() {
    List<ListedBox> boxes = PlacementBench.fragmentedBoxes();
    PlacementTrace.Result downtime =
        PlacementTrace.run(boxes, PlacementBench.REPLICAS, 100, Planner::plan, 20, SEED);
    PlacementTrace.Result firstFit =
        PlacementTrace.run(boxes, PlacementBench.REPLICAS, 50, FirstFit::plan, 20, SEED);
    assertThat(downtime.groupDowntimeMinutes(), lessThanOrEqualTo(firstFit.groupDowntimeMinutes()));
  }
}
