package org.shoreroad.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.shoreroad.Box;
import org.shoreroad.config.AccountSpec;
import org.shoreroad.config.BoxLabels;
import org.shoreroad.config.ConfigChange;
import org.shoreroad.config.ConfigEntry;
import org.shoreroad.config.ModelSpec;
import org.shoreroad.config.PolicySpec;
import org.shoreroad.placement.ListedBox;
import org.shoreroad.placement.PlanStep;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.Node;
import org.shoreroad.state.StateMachine;

/** Creates boxes, nodes and cluster states of a given size for the benchmarks. */
final class Fleet {
  static final int BOXES_PER_REPLICA = 4;

  private static final Map<String, String> LABELS = Map.of("engine", "m");
  private static final int ZONES = 17;

  private Fleet() {}

  /** Returns {@code count} boxes in fabric domains of {@code perDomain} boxes. */
  static List<ListedBox> boxes(int count, int perDomain) {
    List<ListedBox> boxes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      int domain = i / perDomain;
      String name = String.format("d%04d-b%02d", domain, i % perDomain);
      boxes.add(
          new ListedBox(new Box(name, "10.0.0.1:8000", "d" + domain, "z" + domain % ZONES), false));
    }
    return boxes;
  }

  /** Returns a state with labelled boxes, one model of {@code replicas} replicas and accounts. */
  static ClusterState configuredState(
      List<ListedBox> boxes, int replicas, int weight, int accounts) {
    List<ConfigEntry> entries = new ArrayList<>();
    entries.add(new ModelSpec("m", "1", BOXES_PER_REPLICA, replicas, true, LABELS, 16, 256));
    entries.add(new PolicySpec(weight));
    for (ListedBox box : boxes) {
      entries.add(new BoxLabels(box.box().name(), LABELS, false));
    }
    for (int i = 0; i < accounts; i++) {
      entries.add(new AccountSpec("account" + i, "0".repeat(64), 1, 64));
    }
    LogRecord record =
        new LogRecord.ConfigChanged("c", 0, "bench", new ConfigChange(entries, List.of()));
    return StateMachine.apply(ClusterState.EMPTY, 1, record).state();
  }

  /** Returns the state after the log records of the steps are applied. */
  static ClusterState applySteps(ClusterState state, List<PlanStep> steps) {
    ClusterState now = state;
    for (PlanStep step : steps) {
      long offset = now.appliedOffset() + 1;
      LogRecord record =
          step instanceof PlanStep.Form form
              ? new LogRecord.ReplicaFormed("s" + offset, form.model(), form.boxes())
              : new LogRecord.ReplicaDissolved(
                  "s" + offset,
                  ((PlanStep.Dissolve) step).generation(),
                  ((PlanStep.Dissolve) step).reason());
      now = StateMachine.apply(now, offset, record).state();
    }
    return now;
  }

  /** Returns {@code count} nodes, spread evenly over the availability zones. */
  static List<Node> nodes(int count) {
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      nodes.add(new Node("node" + i, "10.0.1.1:9000", "z" + i % ZONES));
    }
    return nodes;
  }
}
