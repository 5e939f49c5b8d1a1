package org.shoreroad.edge.sync;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;

/**
 * Guards against a state of an earlier formation that replaces a later one, whatever its source.
 */
class EarlierFormationTest {
  private static final String BOX = "a";
  private static final long EARLIER = 5;
  private static final long LATER = 6;

  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final Fleet fleet = new Fleet(EarlierFormationTest::decode, () -> nowNanos, log);

  EarlierFormationTest() {
    entry(0, 0);
  }

  /** Decodes an entry that holds the epoch of the box's replica, or 0. */
  private static FleetBox decode(String id, byte[] entry) {
    return box(Long.parseLong(new String(entry, StandardCharsets.UTF_8)));
  }

  private static FleetBox box(long epoch) {
    Membership membership =
        epoch == 0 ? null : new Membership(new ReplicaId("r", epoch), 0, MemberState.OPEN);
    return new FleetBox(BOX, "s", "h:1", "z", 1, false, "d", null, List.of(), membership);
  }

  private void entry(long offset, long epoch) {
    byte[] bytes = Long.toString(epoch).getBytes(StandardCharsets.UTF_8);
    fleet.onRecord(new StoreRecord(StorePosition.of(1, offset), BOX, bytes));
  }

  private @Nullable Membership known() {
    return fleet.find(BOX).membership();
  }

  private void waitUntilReportsAreOld() {
    nowNanos += TimeUnit.SECONDS.toNanos(3);
    fleet.reconcile(TimeUnit.SECONDS.toNanos(3));
  }

  @Test
  void entryDoesNotReplaceAnOldReportOfALaterFormation() {
    fleet.update(box(LATER));
    waitUntilReportsAreOld();
    entry(1, EARLIER);
    waitUntilReportsAreOld();
    assertThat(known(), is(box(LATER).membership()));
  }

  @Test
  void entryDoesNotReplaceALaterEntry() {
    entry(1, LATER);
    entry(2, EARLIER);
    assertThat(known(), is(box(LATER).membership()));
  }

  @Test
  void entryDoesNotBringBackAReplicaThatTheBoxHasLeft() {
    fleet.update(box(LATER));
    fleet.update(box(0));
    waitUntilReportsAreOld();
    entry(1, EARLIER);
    assertThat(known(), nullValue());
  }

  @Test
  void reportOfAPeerDoesNotReplaceALaterFormation() {
    fleet.update(box(LATER));
    assertThat(fleet.updateByPeer(box(EARLIER)), is(false));
    assertThat(known(), is(box(LATER).membership()));
  }

  @Test
  void reportThatWasRequestedBeforeTheJoinDoesNotReplaceIt() {
    fleet.updateByOrder(box(LATER));
    assertThat(fleet.update(box(EARLIER)), is(false));
    assertThat(known(), is(box(LATER).membership()));
  }

  @Test
  void boxThatHasEndedLeavesNoFormations() {
    entry(1, LATER);
    fleet.remove(BOX);
    entry(2, EARLIER);
    assertThat(known(), is(box(EARLIER).membership()));
  }
}
