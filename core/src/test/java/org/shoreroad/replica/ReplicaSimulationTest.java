package org.shoreroad.replica;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Checks that no box serves two replicas, and that no answer is completed while one of its boxes is
 * missing, whatever the delays and faults.
 */
class ReplicaSimulationTest {
  private static final int SEEDS = 300;
  private static final ReplicaTiming SAFE =
      ReplicaTiming.ofMs(1_000, 2_000, 60_000, 500, 3_000, 500);
  private static final ReplicaTiming NO_QUARANTINE =
      ReplicaTiming.ofMs(1_000, 2_000, 60_000, 500, 0, 500);

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void testRun_neverSharesABoxBetweenReplicas(boolean isFenced) {
    int accepted = 0;
    int confirmed = 0;
    List<String> violations = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      ReplicaSimulation simulation = new ReplicaSimulation(seed, isFenced, SAFE, true);
      simulation.run();
      accepted += simulation.acceptedRuns();
      confirmed += simulation.confirmedRuns();
      for (String violation : simulation.violations()) {
        violations.add("seed " + seed + ": " + violation);
      }
    }
    assertThat(violations, is(empty()));
    assertThat(accepted, greaterThan(SEEDS * 10));
    assertThat(confirmed, greaterThan(SEEDS * 5));
  }

  @Test
  void testRun_detectsAMissingQuarantine() {
    assertThat(findViolations(NO_QUARANTINE, true), is(not(empty())));
  }

  @Test
  void testRun_detectsRepeatedOrderNumbers() {
    assertThat(findViolations(SAFE, false), is(not(empty())));
  }

  private static List<String> findViolations(ReplicaTiming timing, boolean isOrderNumberUnique) {
    List<String> violations = new ArrayList<>();
    for (int seed = 0; seed < SEEDS; seed++) {
      ReplicaSimulation simulation =
          new ReplicaSimulation(seed, false, timing, isOrderNumberUnique);
      simulation.run();
      violations.addAll(simulation.violations());
    }
    return violations;
  }
}
