package org.shoreroad.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.shoreroad.Box;
import org.shoreroad.config.ConfigChange;
import org.shoreroad.config.KindSpec;
import org.shoreroad.config.ModelSpec;
import org.shoreroad.config.RouteSpec;

/**
 * Tests that equal records give equal states, that at most one generation holds a box, and that the
 * configuration version never decreases.
 */
class StateMachineTest {
  private static final ModelSpec MODEL = new ModelSpec("m", "1", 2, 9, true, Map.of(), 1, 1);

  private static Box box(int i) {
    return new Box("b" + i, "h:" + (i + 1), "d" + i / 4, "z");
  }

  private static LogRecord model(String id, long base) {
    return new LogRecord.ConfigChanged(id, base, "op", new ConfigChange(List.of(MODEL), List.of()));
  }

  private static LogRecord kind(String id, long base, String name, int priority) {
    KindSpec kind = new KindSpec(name, priority, true, 1, 1_000);
    return new LogRecord.ConfigChanged(id, base, "op", new ConfigChange(List.of(kind), List.of()));
  }

  /** Returns records as concurrent writers append them: stale bases, conflicts and repeats. */
  private static List<LogRecord> randomRecords(long seed) {
    Random random = new Random(seed);
    List<LogRecord> records = new ArrayList<>();
    records.add(model("first", 0));
    for (int i = 0; i < 120; i++) {
      String id = "r" + i;
      long someOffset = 1 + random.nextInt(records.size());
      records.add(
          switch (random.nextInt(8)) {
            case 0 -> kind(id, someOffset, "k" + random.nextInt(3), random.nextInt(10));
            case 1, 2, 3 ->
                new LogRecord.ReplicaFormed(
                    id, "m", List.of(box(random.nextInt(8)), box(random.nextInt(8))));
            case 4 -> new LogRecord.ReplicaDissolved(id, someOffset, DissolveReason.BOX_LOST);
            case 5 -> new LogRecord.BoxReleased(id, someOffset, "b" + random.nextInt(8));
            case 6 -> new LogRecord.NodeJoined(id, new Node("n" + random.nextInt(3), "h:1", "z"));
            default -> records.get(random.nextInt(records.size()));
          });
    }
    return records;
  }

  private static ClusterState applyAll(ClusterState state, List<LogRecord> records, int from) {
    ClusterState current = state;
    for (int i = from; i < records.size(); i++) {
      current = StateMachine.apply(current, i + 1L, records.get(i)).state();
    }
    return current;
  }

  @Property(tries = 300, seed = "7")
  void testApply_boxIsHeldByOneGeneration(@ForAll long seed) {
    ClusterState state = ClusterState.EMPTY;
    List<LogRecord> records = randomRecords(seed);
    for (int i = 0; i < records.size(); i++) {
      state = StateMachine.apply(state, i + 1L, records.get(i)).state();
      Map<String, Long> holders = new HashMap<>();
      for (Generation generation : state.generations().values()) {
        for (String box : generation.heldBoxes()) {
          assertThat(holders.put(box, generation.number()) == null, is(true));
        }
      }
      assertThat(new HashMap<>(state.generationByBox()), is(holders));
    }
  }

  @Property(tries = 300, seed = "7")
  void testApply_configurationChangesOnlyWithHigherVersion(@ForAll long seed) {
    ClusterState state = ClusterState.EMPTY;
    List<LogRecord> records = randomRecords(seed);
    for (int i = 0; i < records.size(); i++) {
      ClusterState after = StateMachine.apply(state, i + 1L, records.get(i)).state();
      assertThat(after.configVersion(), greaterThanOrEqualTo(state.configVersion()));
      if (after.configVersion() == state.configVersion()) {
        assertThat(after.configuration(), is(state.configuration()));
      }
      state = after;
    }
  }

  @Property(tries = 200, seed = "7")
  void testApply_checkpointAndTailGiveSameState(@ForAll long seed) {
    List<LogRecord> records = randomRecords(seed);
    int cut = new Random(seed).nextInt(records.size());
    ClusterState half = applyAll(ClusterState.EMPTY, records.subList(0, cut), 0);
    ClusterState joined = CheckpointCodec.fromBytes(CheckpointCodec.toBytes(half));
    assertThat(joined, is(half));
    assertThat(applyAll(joined, records, cut), is(applyAll(ClusterState.EMPTY, records, 0)));
  }

  @Property(tries = 200, seed = "7")
  void testCodec_recordRoundTrips(@ForAll long seed) {
    for (LogRecord record : randomRecords(seed)) {
      assertThat(RecordCodec.fromBytes(RecordCodec.toBytes(record)), is(record));
    }
  }

  @Test
  void testApply_laterChangeOfSameKeyIsRefused() {
    ClusterState state = StateMachine.apply(ClusterState.EMPTY, 1, kind("a", 0, "k", 1)).state();
    state = StateMachine.apply(state, 2, kind("b", 1, "k", 2)).state();
    StateMachine.Applied late = StateMachine.apply(state, 3, kind("c", 1, "k", 3));
    assertThat(late.outcome().kind(), is(Outcome.Kind.STALE_BASE));
    assertThat(late.outcome().message(), containsString("kind/k was changed at version 2"));
    assertThat(late.state().configuration(), is(state.configuration()));
  }

  @Test
  void testApply_changesOfDifferentKeysAreBothAccepted() {
    ClusterState state = StateMachine.apply(ClusterState.EMPTY, 1, kind("a", 0, "k", 1)).state();
    state = StateMachine.apply(state, 2, kind("b", 1, "x", 2)).state();
    assertThat(StateMachine.apply(state, 3, kind("c", 1, "y", 3)).outcome().isAccepted(), is(true));
  }

  @Test
  void testApply_changeInvalidWithEarlierChangeIsRefused() {
    ClusterState state = StateMachine.apply(ClusterState.EMPTY, 1, model("a", 0)).state();
    RouteSpec route = new RouteSpec("r", List.of("*"), List.of("*"), "model/m");
    LogRecord remove =
        new LogRecord.ConfigChanged("b", 1, "x", new ConfigChange(List.of(), List.of("model/m")));
    LogRecord use =
        new LogRecord.ConfigChanged("c", 1, "y", new ConfigChange(List.of(route), List.of()));
    state = StateMachine.apply(state, 2, remove).state();
    assertThat(StateMachine.apply(state, 3, use).outcome().kind(), is(Outcome.Kind.INVALID));
  }

  @Test
  void testApply_repeatedRecordHasNoEffect() {
    ClusterState state = StateMachine.apply(ClusterState.EMPTY, 1, model("a", 0)).state();
    StateMachine.Applied again = StateMachine.apply(state, 2, model("a", 0));
    assertThat(again.outcome().kind(), is(Outcome.Kind.REPEATED));
    assertThat(again.state().configVersion(), is(1L));
  }

  @Test
  void testApply_repeatedOffsetIsRefused() {
    ClusterState state = StateMachine.apply(ClusterState.EMPTY, 1, model("a", 0)).state();
    assertThrows(IllegalArgumentException.class, () -> StateMachine.apply(state, 1, model("b", 0)));
  }

  @Test
  void testFromBytes_malformedIsRefused() {
    assertThrows(IllegalArgumentException.class, () -> RecordCodec.fromBytes(new byte[] {99}));
    assertThrows(IllegalArgumentException.class, () -> CheckpointCodec.fromBytes(new byte[0]));
  }
}
