package org.shoreroad.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.shoreroad.Box;
import org.shoreroad.config.BoxLabels;
import org.shoreroad.config.ConfigChange;
import org.shoreroad.config.ConfigEntry;
import org.shoreroad.config.ModelSpec;
import org.shoreroad.config.PolicySpec;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.DissolveReason;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.StateMachine;

/** Checks that the log accepts every plan, and that plans are complete and move no replica. */
class PlannerTest {
  private static final Map<String, String> LABEL = Map.of("engine", "m");

  private static List<ListedBox> boxes(int... perDomain) {
    List<ListedBox> boxes = new ArrayList<>();
    for (int d = 0; d < perDomain.length; d++) {
      for (int b = 0; b < perDomain[d]; b++) {
        boxes.add(new ListedBox(new Box("d" + d + "-" + b, "h:1", "d" + d, "z"), false));
      }
    }
    return boxes;
  }

  private static ClusterState state(List<ListedBox> boxes, int replicas, int weight) {
    List<ConfigEntry> entries = new ArrayList<>();
    entries.add(new ModelSpec("m", "1", 4, replicas, true, LABEL, 1, 1));
    entries.add(new PolicySpec(weight));
    boxes.forEach(b -> entries.add(new BoxLabels(b.box().name(), LABEL, false)));
    return StateMachine.apply(
            ClusterState.EMPTY,
            1,
            new LogRecord.ConfigChanged("c", 0, "t", new ConfigChange(entries, List.of())))
        .state();
  }

  private static ClusterState applyAll(ClusterState state, List<PlanStep> steps) {
    ClusterState now = state;
    for (PlanStep step : steps) {
      long offset = now.appliedOffset() + 1;
      LogRecord record =
          step instanceof PlanStep.Form form
              ? new LogRecord.ReplicaFormed("p" + offset, form.model(), form.boxes())
              : new LogRecord.ReplicaDissolved(
                  "p" + offset,
                  ((PlanStep.Dissolve) step).generation(),
                  ((PlanStep.Dissolve) step).reason());
      StateMachine.Applied applied = StateMachine.apply(now, offset, record);
      assertThat(applied.outcome().toString(), applied.outcome().isAccepted(), is(true));
      now = applied.state();
    }
    return now;
  }

  @Property(tries = 200, seed = "7")
  void testPlan_isAcceptedAndCompleteAndDissolvesOnlyForLeavingBoxes(@ForAll long seed) {
    Random random = new Random(seed);
    List<ListedBox> boxes =
        boxes(random.nextInt(10), random.nextInt(10), random.nextInt(10), random.nextInt(10));
    ClusterState state = state(boxes, random.nextInt(9), random.nextInt(101));
    state = applyAll(state, Planner.plan(state, boxes));
    assertThat(Planner.plan(state, boxes), is(empty()));
    // Some boxes are leaving: only their replicas are dissolved.
    List<ListedBox> leaving =
        boxes.stream().map(b -> new ListedBox(b.box(), random.nextInt(8) == 0)).toList();
    for (PlanStep step : Planner.plan(state, leaving)) {
      if (step instanceof PlanStep.Dissolve dissolve) {
        assertThat(dissolve.reason(), is(DissolveReason.BOX_LEAVING));
      }
    }
    state = applyAll(state, Planner.plan(state, leaving));
    assertThat(Planner.plan(state, leaving), is(empty()));
  }

  @Test
  void testPlan_weightDecidesBetweenSpareAndStrandedBoxes() {
    List<ListedBox> boxes = boxes(4, 5);
    PlanStep forDowntime = Planner.plan(state(boxes, 1, 100), boxes).get(0);
    PlanStep forStranded = Planner.plan(state(boxes, 1, 0), boxes).get(0);
    assertThat(((PlanStep.Form) forDowntime).boxes().get(0).fabricDomain(), is("d1"));
    assertThat(((PlanStep.Form) forStranded).boxes().get(0).fabricDomain(), is("d0"));
  }

  @Test
  void testPlan_standbyReplicaIsDissolvedForAnotherModel() {
    List<ListedBox> boxes = boxes(4, 4);
    ClusterState two = state(boxes, 1, 100);
    two = applyAll(two, Planner.plan(two, boxes));
    assertThat(two.standingGenerations("m").size(), is(2));
    ClusterState one = state(boxes, 1, 0);
    assertThat(applyAll(one, Planner.plan(one, boxes)).standingGenerations("m").size(), is(1));
    // Another model that lacks a replica gets the boxes of the standby replica.
    ModelSpec other = new ModelSpec("other", "1", 4, 1, true, LABEL, 1, 1);
    ConfigChange change = new ConfigChange(List.of(other), List.of());
    two =
        StateMachine.apply(
                two,
                two.appliedOffset() + 1,
                new LogRecord.ConfigChanged("c2", two.configVersion(), "t", change))
            .state();
    List<PlanStep> steps = Planner.plan(two, boxes);
    assertThat(steps.size(), is(1));
    assertThat(((PlanStep.Dissolve) steps.get(0)).reason(), is(DissolveReason.NOT_WANTED));
  }

  @Test
  void testPlan_formsNothingAcrossDomains() {
    List<ListedBox> boxes = boxes(3, 3);
    assertThat(Planner.plan(state(boxes, 1, 50), boxes), is(empty()));
  }

  @Test
  void testPlan_doesNotUseUnselectedBoxes() {
    List<ListedBox> boxes = boxes(5);
    ClusterState state = state(boxes.subList(0, 3), 1, 50);
    assertThat(Planner.plan(state, boxes), is(empty()));
  }
}
