package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

class DemandMeterTest extends UpstreamFixture {
  private final DemandMeter demand = new DemandMeter(table);

  @Test
  void pressureIsTheNumberOfOpenRequestsPerSlot() {
    list("a", "OPEN");
    list("b", "OPEN");
    setPeerLoad("a", 2, 0, 0);
    assertThat(demand.demand(LLM).pressure("m"), is(closeTo(0.25, 1e-9)));
    assertThat(demand.demand(LLM).hasTraffic(), is(true));
  }

  @Test
  void aModelWithoutReplicaHasMorePressureThanAnyOther() {
    assertThat(demand.demand(LLM).pressure("m"), is(greaterThan(100.0)));
    assertThat(demand.demand(LLM).hasTraffic(), is(false));
  }
}
