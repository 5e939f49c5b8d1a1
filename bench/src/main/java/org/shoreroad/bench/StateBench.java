package org.shoreroad.bench;

import java.util.ArrayList;
import java.util.List;
import org.shoreroad.config.ConfigChange;
import org.shoreroad.config.KindSpec;
import org.shoreroad.intent.IntentRecord;
import org.shoreroad.intent.IntentTable;
import org.shoreroad.placement.ListedBox;
import org.shoreroad.placement.Planner;
import org.shoreroad.routing.OwnerMap;
import org.shoreroad.state.CheckpointCodec;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.RecordCodec;
import org.shoreroad.state.StateMachine;

/** Measures the size of the applied state, and the time to apply records and derive owners. */
final class StateBench {
  private static final int[] SIZES = {400, 2_000, 10_000};
  private static final int ROUNDS = 21;
  private static final int RECORDS = 500;
  private static final int INTENTS = 100_000;

  private StateBench() {}

  static void run(Report report) {
    report.title("state: boxes labelled, two thirds of them in replicas");
    List<Slope.Point> bytes = new ArrayList<>();
    List<Slope.Point> heap = new ArrayList<>();
    List<Slope.Point> apply = new ArrayList<>();
    List<Slope.Point> owners = new ArrayList<>();
    for (int size : SIZES) {
      long before = usedHeap();
      List<ListedBox> boxes = Fleet.boxes(size, 16);
      ClusterState declared = Fleet.configuredState(boxes, size / 6, 50, 0);
      ClusterState state = Fleet.applySteps(declared, Planner.plan(declared, boxes));
      long used = usedHeap() - before;
      byte[] checkpoint = CheckpointCodec.toBytes(state);
      double applyMicros = Timing.medianNanos(ROUNDS, () -> applyMany(state)) / RECORDS / 1e3;
      int nodes = Math.max(3, 810 * size / 10_000);
      double ownerMillis =
          Timing.medianNanos(
                  ROUNDS, () -> OwnerMap.of(state.generations().values(), Fleet.nodes(nodes)))
              / 1e6;
      report.line(
          "%d boxes, %d generations: checkpoint %d bytes, heap %d KB, apply %.1f us, owners among"
              + " %d nodes %.2f ms",
          size,
          state.generations().size(),
          checkpoint.length,
          used / 1_024,
          applyMicros,
          nodes,
          ownerMillis);
      bytes.add(new Slope.Point(size, checkpoint.length));
      heap.add(new Slope.Point(size, used));
      apply.add(new Slope.Point(size, applyMicros));
      owners.add(new Slope.Point(size, ownerMillis));
    }
    report.slope("checkpoint, bytes", "boxes", Slope.of(bytes));
    report.slope("state and list in heap, bytes", "boxes", Slope.of(heap));
    report.slope("apply one record, us", "boxes", Slope.of(apply));
    report.slope("derive all owners, ms", "boxes", Slope.of(owners));
    byte[] change = RecordCodec.toBytes(change(1, 0));
    report.line("one configuration change of one entry: %d bytes", change.length);
    intents(report);
  }

  private static ClusterState applyMany(ClusterState state) {
    ClusterState now = state;
    for (int i = 0; i < RECORDS; i++) {
      now =
          StateMachine.apply(now, now.appliedOffset() + 1, change(i, now.configVersion())).state();
    }
    return now;
  }

  private static LogRecord change(int i, long base) {
    KindSpec kind = new KindSpec("kind" + i % 50, i % 10, true, 1, 1_000);
    return new LogRecord.ConfigChanged(
        "change-" + i, base, "bench", new ConfigChange(List.of(kind), List.of()));
  }

  private static void intents(Report report) {
    long before = usedHeap();
    IntentTable table = new IntentTable();
    long begun = System.nanoTime();
    for (int i = 0; i < INTENTS; i++) {
      table.apply(i + 1, intent(i));
    }
    double nanos = (System.nanoTime() - begun) / (double) INTENTS;
    long used = usedHeap() - before;
    report.line(
        "intents: %d bytes in the log, %.0f ns to apply, %d bytes of heap each (%d keys)",
        intent(1).toBytes().length, nanos, used / INTENTS, table.size());
  }

  private static IntentRecord intent(int i) {
    return new IntentRecord(
        IntentRecord.Type.STARTING,
        "01234567-89ab-cdef-0123-" + String.format("%012d", i),
        String.format("%032x", i));
  }

  private static long usedHeap() {
    for (int i = 0; i < 3; i++) {
      System.gc();
    }
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }
}
