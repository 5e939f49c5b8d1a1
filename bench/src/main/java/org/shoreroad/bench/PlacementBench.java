package org.shoreroad.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.shoreroad.Box;
import org.shoreroad.placement.ListedBox;
import org.shoreroad.placement.PlanStep;
import org.shoreroad.placement.Planner;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.DissolveReason;
import org.shoreroad.state.Generation;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.StateMachine;

/** Compares the planner with first-fit, and measures its run time by the number of boxes. */
final class PlacementBench {
  static final int REPLICAS = 30;

  private static final int DAYS = 60;
  private static final long SEED = 7;
  private static final int[] SIZES = {40, 400, 4_000, 10_000};
  private static final int DOMAIN_BOXES = 16;
  private static final int ROUNDS = 15;

  private PlacementBench() {}

  /** Returns 180 boxes in fabric domains of 4 to 11 boxes, with space for 40 replicas. */
  static List<ListedBox> fragmentedBoxes() {
    List<ListedBox> boxes = new ArrayList<>();
    for (int d = 0; d < 24; d++) {
      for (int b = 0; b < 4 + d % 8; b++) {
        Box box = new Box("d" + d + "-b" + b, "h:1", "d" + d, "z" + d % 3);
        boxes.add(new ListedBox(box, false));
      }
    }
    return boxes;
  }

  static void run(Report report) {
    List<ListedBox> boxes = fragmentedBoxes();
    report.title(
        "placement: "
            + boxes.size()
            + " boxes, "
            + DAYS
            + " days of letter 1's rates, seed "
            + SEED);
    for (int replicas : new int[] {REPLICAS, 36, 99}) {
      report.line(
          "%d replicas wanted: %s",
          replicas, describe(PlacementTrace.run(boxes, replicas, 50, FirstFit::plan, DAYS, SEED)));
      for (int weight : new int[] {0, 50, 100}) {
        report.line(
            "   weight %3d: %s",
            weight,
            describe(PlacementTrace.run(boxes, replicas, weight, Planner::plan, DAYS, SEED)));
      }
    }
    planTimes(report);
  }

  private static String describe(PlacementTrace.Result result) {
    return String.format(
        Locale.ROOT,
        "group downtime %d min, stranded boxes %d min, formed %d",
        result.groupDowntimeMinutes(),
        result.strandedBoxMinutes(),
        result.formings());
  }

  /** Measures a plan after the loss of one box, with all other replicas in place. */
  private static void planTimes(Report report) {
    List<Slope.Point> points = new ArrayList<>();
    for (int size : SIZES) {
      List<ListedBox> boxes = Fleet.boxes(size, DOMAIN_BOXES + 1);
      ClusterState state = Fleet.configuredState(boxes, size / 5, 0, 0);
      state = Fleet.applySteps(state, Planner.plan(state, boxes));
      Generation lost = state.standingGenerations().get(0);
      long offset = state.appliedOffset() + 1;
      ClusterState broken =
          StateMachine.apply(
                  state,
                  offset,
                  new LogRecord.ReplicaDissolved("x", lost.number(), DissolveReason.BOX_LOST))
              .state();
      double ms = Timing.medianNanos(ROUNDS, () -> Planner.plan(broken, boxes)) / 1e6;
      List<PlanStep> steps = Planner.plan(broken, boxes);
      points.add(new Slope.Point(size, ms));
      report.line("plan for one lost box of %d: %.2f ms, %d steps", size, ms, steps.size());
    }
    report.slope("planner time, ms", "boxes", Slope.of(points));
  }
}
