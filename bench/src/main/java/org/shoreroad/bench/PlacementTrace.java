package org.shoreroad.bench;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.shoreroad.Box;
import org.shoreroad.placement.ListedBox;
import org.shoreroad.placement.PlanStep;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.DissolveReason;
import org.shoreroad.state.Generation;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.StateMachine;

/**
 * Simulates the group downtime and the stranded boxes of a planner in a seeded failure trace.
 *
 * <p>The rates per box are those of the requirements (letter 1): 140 failures and 2,600 restarts a
 * day among 10,000 boxes. One fabric domain fails each week. A failed box is back after four hours,
 * a restarted box after five minutes and a fabric domain after one hour. A replica takes five
 * minutes to load. Not thread-safe.
 */
final class PlacementTrace {
  private static final int MINUTES_PER_DAY = 1_440;
  private static final double FAILURES_PER_BOX_MINUTE = 140.0 / 10_000 / MINUTES_PER_DAY;
  private static final double RESTARTS_PER_BOX_MINUTE = 2_600.0 / 10_000 / MINUTES_PER_DAY;
  private static final double DOMAIN_FAILURES_PER_MINUTE = 1.0 / 7 / MINUTES_PER_DAY;
  private static final int FAILED_MINUTES = 240;
  private static final int RESTART_MINUTES = 5;
  private static final int DOMAIN_MINUTES = 60;
  private static final int LOAD_MINUTES = 5;

  /** A planner, which derives steps from a state and the listed boxes. */
  @FunctionalInterface
  interface PlanFunction {
    List<PlanStep> plan(ClusterState state, Collection<ListedBox> listed);
  }

  /**
   * The result of a trace.
   *
   * @param groupDowntimeMinutes the sum over all configured replicas of the minutes not serving
   * @param strandedBoxMinutes the sum over all live boxes of the minutes outside a serving replica
   * @param formings the number of replicas formed
   */
  record Result(long groupDowntimeMinutes, long strandedBoxMinutes, int formings) {}

  private final List<ListedBox> boxes;
  private final PlanFunction planner;
  private final Random random;
  private final int replicas;
  private final Map<String, Integer> deadUntil = new HashMap<>();
  private final Map<Long, Integer> readyAt = new HashMap<>();
  private ClusterState state;
  private int formings;

  private PlacementTrace(
      List<ListedBox> boxes, int replicas, int weight, PlanFunction planner, long seed) {
    this.boxes = boxes;
    this.planner = planner;
    this.random = new Random(seed);
    this.replicas = replicas;
    this.state = Fleet.configuredState(boxes, replicas, weight, 0);
  }

  /** Runs a trace of {@code days} simulated days. */
  static Result run(
      List<ListedBox> boxes, int replicas, int weight, PlanFunction planner, int days, long seed) {
    return new PlacementTrace(boxes, replicas, weight, planner, seed).run(days * MINUTES_PER_DAY);
  }

  private Result run(int minutes) {
    long downtime = 0;
    long stranded = 0;
    boolean isChanged = true;
    for (int minute = 0; minute < minutes; minute++) {
      isChanged |= drawFailures(minute);
      if (isChanged) {
        dissolveBroken(minute);
        release(minute);
        form(minute);
      }
      isChanged = false;
      int now = minute;
      long serving =
          state.standingGenerations().stream()
              .filter(g -> readyAt.getOrDefault(g.number(), 0) <= now)
              .count();
      long live = boxes.stream().filter(b -> !isDead(b.box(), now)).count();
      downtime += Math.max(0, replicas - serving);
      stranded += live - serving * Fleet.BOXES_PER_REPLICA;
    }
    return new Result(downtime, stranded, formings);
  }

  /**
   * Draws the failures of a minute, with the same random numbers for every planner.
   *
   * @return true if a box failed or came back
   */
  private boolean drawFailures(int minute) {
    boolean isChanged = deadUntil.values().removeIf(until -> until <= minute);
    Set<String> domains = new HashSet<>();
    if (random.nextDouble() < DOMAIN_FAILURES_PER_MINUTE) {
      domains.add(boxes.get(random.nextInt(boxes.size())).box().fabricDomain());
    }
    for (ListedBox listed : boxes) {
      double draw = random.nextDouble();
      int down = 0;
      if (domains.contains(listed.box().fabricDomain())) {
        down = DOMAIN_MINUTES;
      } else if (draw < FAILURES_PER_BOX_MINUTE) {
        down = FAILED_MINUTES;
      } else if (draw < FAILURES_PER_BOX_MINUTE + RESTARTS_PER_BOX_MINUTE) {
        down = RESTART_MINUTES;
      }
      if (down > 0) {
        deadUntil.merge(listed.box().name(), minute + down, Math::max);
        isChanged = true;
      }
    }
    return isChanged;
  }

  private boolean isDead(Box box, int minute) {
    return deadUntil.getOrDefault(box.name(), 0) > minute;
  }

  private void dissolveBroken(int minute) {
    for (Generation generation : new ArrayList<>(state.standingGenerations())) {
      if (generation.boxes().stream().anyMatch(b -> isDead(b, minute))) {
        apply(
            new LogRecord.ReplicaDissolved(newId(), generation.number(), DissolveReason.BOX_LOST));
      }
    }
  }

  private void release(int minute) {
    for (Generation generation : new ArrayList<>(state.dissolvedGenerations())) {
      for (Box box : generation.boxes()) {
        if (generation.heldBoxes().contains(box.name()) && !isDead(box, minute)) {
          apply(new LogRecord.BoxReleased(newId(), generation.number(), box.name()));
        }
      }
    }
  }

  private void form(int minute) {
    List<ListedBox> live = boxes.stream().filter(b -> !isDead(b.box(), minute)).toList();
    for (PlanStep step : planner.plan(state, live)) {
      if (step instanceof PlanStep.Form form) {
        apply(new LogRecord.ReplicaFormed(newId(), form.model(), form.boxes()));
        readyAt.put(state.appliedOffset(), minute + LOAD_MINUTES);
        formings++;
      }
    }
  }

  private String newId() {
    return "t" + (state.appliedOffset() + 1);
  }

  private void apply(LogRecord record) {
    state = StateMachine.apply(state, state.appliedOffset() + 1, record).state();
  }
}
