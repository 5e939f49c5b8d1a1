package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.peer.Heartbeats;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.fleet.ReplicaId;
import org.shoreroad.traffic.UpstreamService;

class UpstreamBoardTest {
  private static final int SLOTS = 4;
  private static final int TARGET_MS = 500;
  private static final EngineSpec ENGINE =
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
          List.of(new ModelShape("m", 2, 1, 1, 16, 1.6)));
  private static final UpstreamService LLM = new UpstreamService("llm", 100, ENGINE);
  private static final UpstreamService WEB = new UpstreamService("web", 100, null);

  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private long offset;
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final Fleet fleet = new Fleet(UpstreamBoardTest::decode, () -> nowNanos, log);
  private final UpstreamBoard board =
      new UpstreamBoard(fleet, () -> nowNanos, new SplittableRandom(3), log, "z");

  /** Reads "web", "leaving" or the state of a head. */
  private static FleetBox decode(String id, byte[] entry) {
    String text = new String(entry, StandardCharsets.UTF_8);
    boolean isLeaving = text.equals("leaving");
    if (text.equals("web")) {
      return new FleetBox(id, "web", "h-" + id + ":1", "z", 6, false, null, null, List.of(), null);
    }
    MemberState state = isLeaving ? MemberState.OPEN : MemberState.valueOf(text);
    return new FleetBox(
        id,
        "llm",
        "h-" + id + ":1",
        "z",
        SLOTS,
        isLeaving,
        "d",
        "m",
        List.of(),
        new Membership(new ReplicaId("r-" + id, 1), 0, state));
  }

  private void list(String id, @Nullable String entry) {
    byte[] bytes = entry == null ? null : entry.getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(offset++, id, bytes));
  }

  private @Nullable String choose(Set<String> tried) {
    return board.choose(LLM, "m", tried, TARGET_MS).map(t -> t.box().id()).orElse(null);
  }

  private void tellElsewhere(String id, int open, long waitingTokens, int ageMs) {
    Heartbeat.Load load = new Heartbeat.Load(id, open, waitingTokens, ageMs);
    board.setElsewhere(Map.of(heartbeatWith(List.of(load)), nowNanos));
  }

  private static Heartbeat heartbeatWith(List<Heartbeat.Load> loads) {
    return Heartbeats.of("p").withLoads(loads);
  }

  @Test
  void onlyOpenHeadsThatStayAreChosen() {
    list("ready", "READY");
    list("closing", "CLOSING");
    list("leaving", "leaving");
    assertThat(choose(Set.of()) == null, is(true));
    list("open", "OPEN");
    assertThat(choose(Set.of()), is("open"));
    assertThat(choose(Set.of("open")) == null, is(true));
  }

  @Test
  void whatIsOffTheListIsNotChosen() {
    list("a", "OPEN");
    list("a", null);
    fleet.settle(TimeUnit.MINUTES.toNanos(1));
    assertThat(choose(Set.of()) == null, is(true));
  }

  @Test
  void theLoadOfOtherProcessesCounts() {
    list("a", "OPEN");
    list("b", "OPEN");
    tellElsewhere("a", 3, 0, 0);
    for (int i = 0; i < 20; i++) {
      assertThat(choose(Set.of()), is("b"));
    }
  }

  @Test
  void manyProcessesThatChooseOnOldWordsDoNotAllChooseTheSameHead() {
    int heads = 20;
    List<Heartbeat.Load> told = new ArrayList<>();
    for (int i = 0; i < heads; i++) {
      list("h" + i, "OPEN");
      told.add(new Heartbeat.Load("h" + i, i == 0 ? 0 : 1, 0, 0));
    }
    board.setElsewhere(Map.of(heartbeatWith(told), nowNanos));
    board.setProcessCount(80);
    int choices = 400;
    int idle = 0;
    for (int i = 0; i < choices; i++) {
      idle += "h0".equals(choose(Set.of())) ? 1 : 0;
    }
    // By chance each head would get a twentieth; the idle one is preferred, but not by all.
    assertThat(idle, is(both(greaterThan(choices / heads)).and(lessThan(choices / 4))));
  }

  @Test
  void aFullHeadGetsNothing() {
    list("a", "OPEN");
    tellElsewhere("a", SLOTS, 0, 0);
    assertThat(choose(Set.of()) == null, is(true));
    tellElsewhere("a", SLOTS - 1, 0, 0);
    assertThat(choose(Set.of()), is("a"));
  }

  @Test
  void aHeadWhosePromptsTakeTooLongToReadGetsNothing() {
    list("a", "OPEN");
    tellElsewhere("a", 1, 14_000, 0);
    assertThat(choose(Set.of()) == null, is(true));
  }

  @Test
  void aFailingHeadIsPassedOver() {
    list("a", "OPEN");
    list("b", "OPEN");
    for (int i = 0; i < 5; i++) {
      board.loadOf("a").recordOutcome(true);
    }
    Map<String, Integer> counts = new HashMap<>();
    for (int i = 0; i < 50; i++) {
      counts.merge(String.valueOf(choose(Set.of())), 1, Integer::sum);
    }
    assertThat(counts.get("b"), is(50));
  }

  @Test
  void aSlowHeadIsPassedOver() {
    list("a", "OPEN");
    list("b", "OPEN");
    tellElsewhere("b", 1, 0, 0);
    for (int i = 0; i < 20; i++) {
      board.loadOf("a").pace().record(TimeUnit.MILLISECONDS.toNanos(160), 40, nowNanos);
    }
    assertThat(choose(Set.of()), is("b"));
  }

  @Test
  void aPeersSuspicionCountsUntilTheHeadBelongsToAnotherReplica() {
    list("a", "OPEN");
    assertThat(choose(Set.of()), is("a"));
    board.suspectByPeer(Set.of("a"));
    assertThat(choose(Set.of()) == null, is(true));
    assertThat(board.suspectedIds(), is(Set.of("a")));
    nowNanos += TimeUnit.SECONDS.toNanos(5);
    assertThat(choose(Set.of()), is("a"));
  }

  @Test
  void plainUpstreamsAreChosenByService() {
    list("w", "web");
    assertThat(board.choose(WEB, null, Set.of(), TARGET_MS).isPresent(), is(true));
    assertThat(board.hasAny(LLM, "m"), is(false));
  }

  @Test
  void pressureIsWhatIsOpenForEachPlace() {
    list("a", "OPEN");
    list("b", "OPEN");
    tellElsewhere("a", 2, 0, 0);
    assertThat(board.demand(LLM).pressure("m"), is(closeTo(0.25, 1e-9)));
    assertThat(board.demand(LLM).hasTraffic(), is(true));
  }

  @Test
  void aModelWithoutReplicaIsPressedBeyondMeasure() {
    assertThat(board.demand(LLM).pressure("m"), is(greaterThan(100.0)));
    assertThat(board.demand(LLM).hasTraffic(), is(false));
  }

  @Test
  void withoutOpenRequestsThereIsNoNextLookForSilentHeads() {
    assertThat(board.findStalled(), is(Long.MAX_VALUE));
  }
}
