package org.shoreroad.demand;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.Demand;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;

class DemandEstimatorTest {
  private static final int SLOTS = 20;
  private static final ModelShape LARGE = new ModelShape("large", 12, 0.5, 1, 16, 1.6);
  private static final ModelShape SMALL = new ModelShape("small", 6, 0.5, 0.6, 12, 1.1);
  private static final long STEP_NANOS = 100_000_000L;

  private final DemandEstimator estimator = new DemandEstimator();
  private long nowNanos = 5_000_000_000L;

  private static EngineSpec spec(ModelShape... models) {
    return new EngineSpec(
        SLOTS, 1_000_000, 6, 0.1, 0, 50_000, 2_048, 5, 4, 6, 200, List.of(models));
  }

  private static ModelLoad load(int replicas, int open, int arrived, int refused, int late) {
    return new ModelLoad(replicas, 0, replicas, open, arrived, refused, late, arrived * 100L);
  }

  private Demand updateFor(double seconds, ModelLoad large, ModelLoad small) {
    Demand demand = Demand.NONE;
    for (int i = 0; i < seconds * 10; i++) {
      nowNanos += STEP_NANOS;
      demand =
          estimator.update(spec(LARGE, SMALL), Map.of("large", large, "small", small), nowNanos);
    }
    return demand;
  }

  @Test
  void withoutRefusedAndLateRequestsThePressureIsTheOpenRequestsPerSlot() {
    Random random = new Random(5);
    for (int i = 0; i < 2_000; i++) {
      Map<String, ModelLoad> loads = new HashMap<>();
      Map<String, Double> pressures = new HashMap<>();
      Map<String, Integer> replicas = new HashMap<>();
      for (String model : List.of("large", "small")) {
        int count = random.nextInt(8);
        int open = count == 0 ? 0 : random.nextInt(count * SLOTS + 1);
        int arrived = 20 + random.nextInt(200);
        // The share of refused and late requests is at most 4 in 100.
        int late = random.nextInt(1 + arrived / 25);
        double capacity = count * random.nextDouble();
        loads.put(
            model, new ModelLoad(count, random.nextInt(3), capacity, open, arrived, 0, late, 900));
        double slots = (double) count * SLOTS;
        pressures.put(model, count == 0 ? Demand.NO_REPLICA_PRESSURE : open / slots);
        replicas.put(model, count);
      }
      nowNanos += STEP_NANOS;
      Demand demand = estimator.update(spec(LARGE, SMALL), loads, nowNanos);
      assertThat(demand, is(new Demand(pressures, replicas, demand.hasTraffic())));
    }
  }

  @Test
  void refusedRequestsRaiseThePressureAboveOne() {
    // 40 of 80 tries are refused, so 60 callers in a second need 3 slots each for half a second.
    Demand demand = updateFor(8, load(2, 40, 80, 40, 0), load(4, 10, 40, 0, 0));
    assertThat(demand.strain(), is(notNullValue()));
    assertThat(demand.pressure("large"), is(closeTo(80 / 1.5 / 40, 0.01)));
    assertThat(demand.pressure("small"), is(closeTo(10.0 / 80, 0.01)));
  }

  @Test
  void callersThatComeAgainOnceAreNotCountedTwice() {
    // 100 new callers in a second; half of all tries are refused, and each caller comes back once:
    // 150 tries, 75 refused. The served ones hold 1 s each.
    Demand demand = updateFor(8, load(4, 75, 150, 75, 0), load(4, 10, 40, 0, 0));
    assertThat(demand.pressure("large") * 4 * SLOTS, is(closeTo(100, 0.5)));
  }

  @Test
  void promptsNeedReplicasToo() {
    ModelLoad large = new ModelLoad(2, 0, 2, 10, 60, 0, 30, 75_000);
    Demand demand = updateFor(8, large, load(4, 10, 40, 0, 0));
    // Reading takes 1.5 s of engine time in each second, at most half of an engine's time.
    assertThat(demand.strain().needed("large"), is(closeTo(3, 0.01)));
    assertThat(demand.pressure("large"), is(closeTo(1.5, 0.01)));
  }

  @Test
  void readingOfAFasterModelNeedsLess() {
    ModelLoad small = new ModelLoad(2, 0, 2, 10, 60, 0, 30, 75_000);
    Demand demand = updateFor(8, load(4, 10, 40, 0, 0), small);
    assertThat(demand.strain().needed("small"), is(closeTo(1.8, 0.01)));
  }

  @Test
  void slowReplicasServeLess() {
    ModelLoad atPace = load(4, 40, 40, 0, 20);
    ModelLoad slow = new ModelLoad(4, 0, 2, 40, 40, 0, 20, 4_000);
    double pressure = updateFor(8, atPace, load(4, 10, 40, 0, 0)).pressure("large");
    double slowPressure = updateFor(8, slow, load(4, 10, 40, 0, 0)).pressure("large");
    assertThat(slowPressure, is(closeTo(2 * pressure, 0.01)));
  }

  private Demand updateRising() {
    Demand demand = Demand.NONE;
    for (int i = 0; i < 40; i++) {
      nowNanos += STEP_NANOS;
      ModelLoad rising = load(4, 50 + i, 100 + 2 * i, 0, 20);
      Map<String, ModelLoad> loads = Map.of("large", rising, "small", load(4, 10, 40, 0, 0));
      demand = estimator.update(spec(LARGE, SMALL), loads, nowNanos);
    }
    return demand;
  }

  @Test
  void risingArrivalsCountInAdvanceUpToTheRecentPeak() {
    updateFor(6, load(4, 100, 200, 0, 40), load(4, 10, 40, 0, 0));
    updateFor(10, load(4, 50, 100, 0, 20), load(4, 10, 40, 0, 0));
    Demand demand = updateRising();
    assertThat(demand.strain().risePerSecond("large"), is(greaterThan(0.1)));
    assertThat(demand.strain().risePerSecond("small"), is(0.0));
    assertThat(demand.pressure("large"), is(greaterThan(1.05 * 89 / 80)));
    assertThat(demand.pressure("large"), is(lessThan(1.01 * 100 / 80)));
  }

  @Test
  void riseAboveTheRecentPeakIsNotForeseen() {
    updateFor(16, load(4, 50, 100, 0, 20), load(4, 10, 40, 0, 0));
    assertThat(updateRising().pressure("large"), is(closeTo(89.0 / 80, 0.01)));
  }

  @Test
  void riseDoesNotCountBeforeASwingCouldBeSeen() {
    assertThat(updateRising().pressure("large"), is(closeTo(89.0 / 80, 0.01)));
  }

  @Test
  void peakOfTheLastSecondsIsKept() {
    updateFor(16, load(4, 70, 100, 0, 20), load(4, 10, 40, 0, 0));
    Demand demand = updateFor(10, load(4, 20, 40, 0, 8), load(4, 10, 40, 0, 0));
    assertThat(demand.strain().needed("large"), is(closeTo(1, 0.05)));
    assertThat(demand.strain().peaks().get("large"), is(closeTo(3.5, 0.05)));
  }

  @Test
  void modelKeepsItsReplicasUntilItsPeaksAreKnown() {
    Demand demand = updateFor(10, load(4, 20, 40, 0, 8), load(4, 10, 40, 0, 0));
    assertThat(demand.strain().peaks().get("large"), is(4.0));
    demand = updateFor(10, load(4, 20, 40, 0, 8), load(4, 10, 40, 0, 0));
    assertThat(demand.strain().peaks().get("large"), is(closeTo(1, 0.05)));
  }

  @Test
  void strainLastsForSecondsAfterTheLastRefusal() {
    updateFor(3, load(2, 40, 80, 40, 0), load(4, 10, 40, 0, 0));
    ModelLoad calm = load(2, 20, 40, 0, 0);
    assertThat(updateFor(4, calm, load(4, 10, 40, 0, 0)).strain(), is(notNullValue()));
    assertThat(updateFor(6, calm, load(4, 10, 40, 0, 0)).strain(), is(nullValue()));
  }

  @Test
  void modelWithoutReplicasNeedsWhatItsRefusedRequestsNeed() {
    Demand demand = updateFor(4, load(0, 0, 50, 50, 0), load(4, 10, 40, 0, 0));
    assertThat(demand.pressure("large"), is(Demand.NO_REPLICA_PRESSURE));
    assertThat(demand.strain().needed("large"), is(greaterThan(0.5)));
  }

  @Test
  void refusedRequestsForAModelWithoutAShareOfTheBoxesAreNoStrain() {
    ModelShape unplanned = new ModelShape("unplanned", 6, 0, 1, 12, 1.1);
    Demand demand = Demand.NONE;
    for (int i = 0; i < 50; i++) {
      nowNanos += STEP_NANOS;
      Map<String, ModelLoad> loads =
          Map.of(
              "large", load(4, 20, 40, 0, 0),
              "small", load(4, 10, 40, 0, 0),
              "unplanned", load(0, 0, 30, 30, 0));
      demand = estimator.update(spec(LARGE, SMALL, unplanned), loads, nowNanos);
    }
    assertThat(demand.strain(), is(nullValue()));
  }

  @Test
  void needIsFiniteIfTheReadingRateIsNotDeclared() {
    EngineSpec withoutRate =
        new EngineSpec(SLOTS, 1_000_000, 6, 0.1, 0, 0, 2_048, 5, 4, 6, 200, List.of(LARGE, SMALL));
    Demand demand = Demand.NONE;
    for (int i = 0; i < 80; i++) {
      nowNanos += STEP_NANOS;
      Map<String, ModelLoad> loads =
          Map.of("large", load(2, 40, 80, 40, 0), "small", load(4, 10, 40, 0, 0));
      demand = estimator.update(withoutRate, loads, nowNanos);
    }
    assertThat(demand.pressure("large"), is(closeTo(80 / 1.5 / 40, 0.01)));
  }

  @Test
  void serviceWithOneModelIsNeverStrained() {
    Demand demand = Demand.NONE;
    for (int i = 0; i < 50; i++) {
      nowNanos += STEP_NANOS;
      Map<String, ModelLoad> loads = Map.of("large", load(1, 20, 80, 60, 0));
      demand = estimator.update(spec(LARGE), loads, nowNanos);
    }
    assertThat(demand.strain(), is(nullValue()));
    assertThat(demand.pressure("large"), is(1.0));
  }

  @Test
  void reportsShowTheFiguresOfTheLastUpdate() {
    assertThat(estimator.reports().isEmpty(), is(true));
    updateFor(4, load(2, 40, 80, 40, 0), load(4, 10, 40, 0, 0));
    DemandEstimator.ModelReport report = estimator.reports().get(0);
    assertThat(report.model(), is("large"));
    assertThat(report.isStrained(), is(true));
    assertThat(report.load().refused(), is(40));
    assertThat(estimator.isUpdatedSince(nowNanos), is(true));
    assertThat(estimator.isUpdatedSince(nowNanos + 1), is(false));
  }
}
