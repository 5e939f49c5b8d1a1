package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;

/**
 * Tests of an upstream that restarts under the same id and is distinguished by its start time.
 *
 * <p>A restarted box has lost its state. If the state of the former incarnation were kept until the
 * next report, for up to 1.5 s the box would count as a member of its former replica and would be
 * expected to hold its former weights.
 */
class RestartedUpstreamTest {
  private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);
  private static final ReplicaId REPLICA = new ReplicaId("r", 5);

  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private long offset;
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final Fleet fleet = new Fleet(RestartedUpstreamTest::decode, () -> nowNanos, log);
  private final List<Long> endedMs = new ArrayList<>();

  @BeforeEach
  void listen() {
    fleet.addRemovalListener(box -> endedMs.add(box.bornMs()));
  }

  /** Decodes entries like {@code "7 ready"}: the start time and the state. */
  private static FleetBox decode(String id, byte[] entry) {
    String[] words = new String(entry, StandardCharsets.UTF_8).split(" ");
    boolean isLeaving = words[1].equals("leaving");
    return new FleetBox(id, "s", "h:1", "z", 1, isLeaving, "d", null, List.of(), null)
        .withStart(Long.parseLong(words[0]));
  }

  private void entry(String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(StorePosition.of(1, offset++), "a", bytes));
  }

  private FleetBox report(long bornMs) {
    Membership membership = new Membership(REPLICA, 1, MemberState.READY);
    return decode("a", (bornMs + " ready").getBytes(StandardCharsets.UTF_8))
        .withEngineState("m", List.of("m"), membership);
  }

  @Test
  void stateOfTheFormerIncarnationIsDroppedWhenTheRestartIsListed() {
    entry("7 ready");
    fleet.update(report(7));
    nowNanos += 100 * MILLI_NANOS;
    entry("9 ready");
    assertThat(fleet.find("a").membership(), is(nullValue()));
    assertThat(fleet.lastModel("a"), is(nullValue()));
    assertThat(fleet.isEligible("a"), is(true));
    assertThat(endedMs, contains(7L));
  }

  @Test
  void restartIsDetectedAfterTheClockWasSetBack() {
    entry("9 ready");
    entry("7 ready");
    assertThat(fleet.find("a").bornMs(), is(7L));
    assertThat(endedMs, contains(9L));
  }

  @Test
  void lateReportOfTheFormerIncarnationIsDropped() {
    entry("7 ready");
    entry("9 ready");
    assertThat(fleet.update(report(7)), is(false));
    assertThat(fleet.find("a").bornMs(), is(9L));
    assertThat(fleet.find("a").membership(), is(nullValue()));
  }

  @Test
  void reportOfALaterIncarnationEndsTheFormerOneBeforeItsEntry() {
    entry("7 leaving");
    fleet.update(report(7));
    assertThat(fleet.update(report(9)), is(true));
    assertThat(endedMs, contains(7L));
    assertThat(fleet.find("a").bornMs(), is(9L));
    assertThat(fleet.isEligible("a"), is(true));
    // A listing may still contain the entry of the former incarnation.
    entry("7 leaving");
    assertThat(fleet.find("a").bornMs(), is(9L));
    entry("9 ready");
    assertThat(fleet.find("a").isLeaving(), is(false));
    assertThat(endedMs, contains(7L));
  }

  @Test
  void missingStartTimeIsNoRestart() {
    entry("7 ready");
    assertThat(fleet.update(report(0)), is(true));
    entry("0 ready");
    assertThat(endedMs.isEmpty(), is(true));
  }

  /** The upstream answers, but its entry was removed: only the list puts it into service. */
  @Test
  void reportDoesNotListAnUpstreamThatWasRemoved() {
    entry("7 ready");
    fleet.onRecord(new StoreRecord(StorePosition.of(1, offset++), "a", null));
    fleet.reconcile(TimeUnit.MINUTES.toNanos(1));
    assertThat(fleet.isEligible("a"), is(false));
    fleet.update(report(9));
    assertThat(fleet.find("a").bornMs(), is(9L));
    assertThat(fleet.isListed("a"), is(false));
    assertThat(fleet.isEligible("a"), is(false));
    entry("9 ready");
    assertThat(fleet.isEligible("a"), is(true));
  }

  /** A peer's report may be in transit while the restart is listed. */
  @Test
  void peerReportOfAnotherIncarnationIsDropped() {
    entry("9 ready");
    assertThat(fleet.updateByPeer(report(7)), is(false));
    assertThat(fleet.find("a").bornMs(), is(9L));
    assertThat(fleet.updateByPeer(report(9)), is(true));
  }

  /** The store is restored from a copy that is older than the restart. */
  @Test
  void copyDoesNotRestoreTheFormerIncarnation() {
    offset = 50;
    entry("9 ready");
    byte[] former = "7 ready".getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(StorePosition.of(2, 40), "a", former));
    fleet.onListed(Set.of("a"), StorePosition.of(2, 45));
    assertThat(fleet.find("a").bornMs(), is(9L));
    byte[] again = "9 ready".getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(StorePosition.of(2, 45), "a", again));
    assertThat(fleet.find("a").bornMs(), is(9L));
    assertThat(fleet.isEligible("a"), is(true));
    assertThat(endedMs.isEmpty(), is(true));
  }

  /** An incarnation that was ended by mistake is restored by its own later entry. */
  @Test
  void endedIncarnationThatWritesAgainIsRunning() {
    entry("7 ready");
    entry("9 ready");
    entry("7 ready");
    assertThat(fleet.find("a").bornMs(), is(7L));
  }
}
