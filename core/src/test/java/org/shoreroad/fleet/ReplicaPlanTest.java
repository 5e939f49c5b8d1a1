package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.Map;
import org.junit.jupiter.api.Test;

class ReplicaPlanTest {
  private final EngineSpec spec = FakeDomain.spec();

  @Test
  void largeDomainHasAQuarterOfItsBoxesAsReserve() {
    ReplicaPlan plan = ReplicaPlan.of(spec, Map.of("d", 8));
    assertThat(plan.wanted("d", "large"), is(1));
    assertThat(plan.wanted("d", "small"), is(1));
  }

  @Test
  void smallDomainHasNoReserve() {
    ReplicaPlan plan = ReplicaPlan.of(spec, Map.of("d", 6));
    assertThat(plan.wanted("d", "large"), is(1));
    assertThat(plan.wanted("d", "small"), is(1));
  }

  @Test
  void sharesAreMetOverAllDomains() {
    Map<String, Integer> sizes = new HashMap<>();
    for (int i = 0; i < 40; i++) {
      sizes.put("d" + i, 7);
    }
    ReplicaPlan plan = ReplicaPlan.of(spec, sizes);
    int large = 0;
    int small = 0;
    for (String domain : sizes.keySet()) {
      large += plan.wanted(domain, "large");
      small += plan.wanted(domain, "small");
    }
    assertThat(large, is(40));
    assertThat(small, is(40));
  }

  @Test
  void largeModelsArePlannedInEveryDomain() {
    EngineSpec wideSpec =
        FakeDomain.spec(
            new ModelShape("wide", 8, 0.5, 1, 16, 1.6), new ModelShape("slim", 4, 0.5, 1, 12, 1.1));
    Map<String, Integer> sizes = new HashMap<>();
    for (int i = 0; i < 12; i++) {
      sizes.put("d" + i, 19);
    }
    ReplicaPlan plan = ReplicaPlan.of(wideSpec, sizes);
    for (String domain : sizes.keySet()) {
      // The reserve of four boxes serves in another slim replica, and three boxes are spare.
      assertThat(plan.wanted(domain, "wide"), is(1));
      assertThat(plan.wanted(domain, "slim"), is(1));
    }
  }

  @Test
  void noReplicaIsPlannedForTooFewBoxes() {
    ReplicaPlan plan = ReplicaPlan.of(spec, Map.of("d", 1));
    assertThat(plan.wanted("d", "large"), is(0));
    assertThat(plan.wanted("d", "small"), is(0));
    assertThat(plan.wanted("unknown", "large"), is(0));
  }

  @Test
  void domainsHaveRanksInTheOrderOfTheirNames() {
    ReplicaPlan plan = ReplicaPlan.of(spec, Map.of("c", 8, "a", 6, "b", 2));
    assertThat(plan.rankOf("a"), is(0));
    assertThat(plan.rankOf("b"), is(1));
    assertThat(plan.rankOf("c"), is(2));
    assertThat(plan.rankOf("d"), is(-1));
  }
}
