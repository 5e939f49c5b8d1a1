package org.shoreroad.edge.replica;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.BoxOrder.Verb;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ReplicaId;

/** Tests of what the acceptance of an order changes in the known state of a box. */
class EngineMonitorTest {
  private static final String BOX = "a";
  private static final int REPORT_LAG_MS = 200;
  private static final ReplicaId FORMER = new ReplicaId("former", 1);
  private static final ReplicaId CURRENT = new ReplicaId("current", 2);

  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final Fleet fleet = new Fleet(EngineMonitorTest::decode, () -> nowNanos, log);
  private final ReportingEngines engines = new ReportingEngines();
  private final EngineMonitor monitor = new EngineMonitor(() -> nowNanos, log, fleet, engines);

  EngineMonitorTest() {
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 0), BOX, new byte[] {'x'}));
  }

  private static FleetBox decode(String id, byte[] entry) {
    return new FleetBox(id, "llm", id + ":1", "z", 4, false, "d", null, List.of(), null);
  }

  /** Engines that report one membership at once. */
  private static final class ReportingEngines implements Engines {
    private @Nullable Membership reported;

    @Override
    public void requestReport(FleetBox box, ReportCallback callback) {
      callback.onReport(box.withEngineState("m", List.of("m"), reported));
    }

    @Override
    public void order(FleetBox box, BoxOrder order, long fence, OrderCallback callback) {
      callback.onOutcome(OrderOutcome.TAKEN);
    }
  }

  private static Membership member(ReplicaId replica, MemberState state) {
    return new Membership(replica, 0, state);
  }

  private void report(@Nullable Membership membership) {
    engines.reported = membership;
    monitor.requestReport(fleet.find(BOX), 0, nowNanos);
  }

  private void accept(Verb verb, ReplicaId replica) {
    BoxOrder order =
        verb == Verb.JOIN
            ? BoxOrder.join(BOX, replica, "m", List.of(BOX), "test")
            : BoxOrder.of(BOX, verb, replica, "test");
    monitor.applyAccepted(order, REPORT_LAG_MS);
  }

  private @Nullable Membership known() {
    return fleet.find(BOX).membership();
  }

  @Test
  void leavingAFormerReplicaDoesNotEndTheCurrentMembership() {
    report(member(CURRENT, MemberState.OPEN));
    accept(Verb.LEAVE, FORMER);
    assertThat(known(), is(member(CURRENT, MemberState.OPEN)));
  }

  @Test
  void lateAcceptanceOfAFormerJoinDoesNotReplaceTheCurrentMembership() {
    report(member(CURRENT, MemberState.OPEN));
    accept(Verb.JOIN, FORMER);
    assertThat(known(), is(member(CURRENT, MemberState.OPEN)));
  }

  @Test
  void lateAcceptanceOfAJoinDoesNotTakeAnOpenHeadBackToJoining() {
    report(member(CURRENT, MemberState.OPEN));
    accept(Verb.JOIN, CURRENT);
    assertThat(known(), is(member(CURRENT, MemberState.OPEN)));
  }

  @Test
  void lateAcceptanceOfAJoinDoesNotBringBackAReplicaThatTheBoxHasLeft() {
    report(member(CURRENT, MemberState.READY));
    report(null);
    accept(Verb.JOIN, CURRENT);
    assertThat(known(), nullValue());
  }

  @Test
  void joinThatIsAnsweredAfterTheLeaveNeedsALaterReport() {
    accept(Verb.JOIN, CURRENT);
    accept(Verb.LEAVE, CURRENT);
    report(null);
    assertThat(isConfirmed(), is(true));
    accept(Verb.JOIN, CURRENT);
    report(null);
    assertThat(isConfirmed(), is(false));
    nowNanos += TimeUnit.MILLISECONDS.toNanos(REPORT_LAG_MS + 50);
    report(member(CURRENT, MemberState.READY));
    assertThat(isConfirmed(), is(true));
    assertThat(known(), is(member(CURRENT, MemberState.READY)));
  }

  private boolean isConfirmed() {
    return monitor.reachability().hasReport(BOX, TimeUnit.SECONDS.toNanos(1), nowNanos);
  }

  @Test
  void closingAFormerReplicaDoesNotCloseTheCurrentOne() {
    report(member(CURRENT, MemberState.OPEN));
    accept(Verb.CLOSE_NOW, FORMER);
    accept(Verb.CLOSE_AFTER_WORK, FORMER);
    assertThat(known(), is(member(CURRENT, MemberState.OPEN)));
  }

  @Test
  void orderWithoutEffectDoesNotHoldBackReports() {
    report(member(CURRENT, MemberState.READY));
    accept(Verb.LEAVE, FORMER);
    report(member(CURRENT, MemberState.OPEN));
    assertThat(known(), is(member(CURRENT, MemberState.OPEN)));
  }

  @Test
  void reportOfALaterFormationIsAppliedRightAfterAnOrder() {
    report(member(FORMER, MemberState.READY));
    accept(Verb.LEAVE, FORMER);
    report(member(CURRENT, MemberState.OPEN));
    assertThat(known(), is(member(CURRENT, MemberState.OPEN)));
  }

  @Test
  void acceptedOrdersAboutTheKnownReplicaTakeEffectBeforeReportsShowIt() {
    accept(Verb.JOIN, CURRENT);
    assertThat(known(), is(member(CURRENT, MemberState.JOINING)));
    report(null);
    assertThat(known(), is(member(CURRENT, MemberState.JOINING)));
    nowNanos += TimeUnit.SECONDS.toNanos(1);
    report(member(CURRENT, MemberState.OPEN));
    accept(Verb.CLOSE_AFTER_WORK, CURRENT);
    assertThat(known(), is(member(CURRENT, MemberState.CLOSING)));
    accept(Verb.CLOSE_NOW, CURRENT);
    assertThat(known(), is(member(CURRENT, MemberState.READY)));
    accept(Verb.LEAVE, CURRENT);
    assertThat(known(), nullValue());
  }
}
