package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.fleet.Demand;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.traffic.UpstreamService;

class DemandMeterTest extends UpstreamFixture {
  private static final UpstreamService TWO_MODELS =
      new UpstreamService(
          "llm",
          100,
          new EngineSpec(
              SLOTS,
              1_000,
              6,
              0.3,
              0,
              46_000,
              2_048,
              5,
              4,
              6,
              200,
              List.of(
                  new ModelShape("m", 2, 0.5, 1, 16, 1.6),
                  new ModelShape("n", 2, 0.5, 1, 16, 1.6))));

  private final TrafficMeter traffic = new TrafficMeter(() -> nowNanos, "z", new EdgeMetrics());
  private final DemandMeter demand = new DemandMeter(table, traffic, () -> nowNanos);

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

  @Test
  void refusedRequestsOfAServiceWithOneModelChangeNothing() {
    list("a", "OPEN");
    setPeerLoad("a", 4, 0, 0);
    for (int i = 0; i < 50; i++) {
      traffic.recordArrival("llm", "m", 100);
      traffic.recordRefusal("llm", "m");
      nowNanos += 100_000_000L;
      demand.demand(LLM);
    }
    assertThat(demand.demand(LLM).pressure("m"), is(1.0));
    assertThat(demand.demand(LLM).strain(), is(nullValue()));
  }

  @Test
  void refusedRequestsRaiseThePressureWhereModelsShareBoxes() {
    list("a", "OPEN");
    setPeerLoad("a", 4, 0, 0);
    for (int i = 0; i < 600; i++) {
      traffic.recordArrival("llm", "m", 100);
      if (i % 2 == 0) {
        traffic.recordRefusal("llm", "m");
      }
      nowNanos += 50_000_000L;
      demand.demand(TWO_MODELS);
    }
    // Of 20 tries in a second 10 are refused, so there are 20 / 1.5 callers for 10 served.
    assertThat(demand.demand(TWO_MODELS).pressure("m"), is(closeTo(20 / 1.5 / 10, 0.1)));
  }

  /** Otherwise replicas would be closed in the usual share of late requests of a busy service. */
  @Test
  void refusedRequestsChangeNothingWhileDemandIsEven() {
    list("a", "OPEN");
    setPeerLoad("a", 4, 0, 0);
    demand.setUnevenCheck(() -> false);
    for (int i = 0; i < 100; i++) {
      traffic.recordArrival("llm", "m", 100);
      traffic.recordRefusal("llm", "m");
      nowNanos += 50_000_000L;
      demand.demand(TWO_MODELS);
    }
    assertThat(demand.demand(TWO_MODELS).pressure("m"), is(1.0));
    assertThat(demand.demand(TWO_MODELS).strain(), is(nullValue()));
  }

  @Test
  void headsThatAreFormingForTheModelAreCounted() {
    list("a", "OPEN");
    setPeerLoad("a", 4, 0, 0);
    list("c", "FORMING");
    Demand measured = Demand.NONE;
    for (int i = 0; i < 40; i++) {
      traffic.recordArrival("llm", "m", 100);
      traffic.recordRefusal("llm", "m");
      nowNanos += 100_000_000L;
      measured = demand.demand(TWO_MODELS);
    }
    assertThat(measured.strain().formingCount("m"), is(1));
    assertThat(measured.strain().formingCount("n"), is(0));
  }
}
