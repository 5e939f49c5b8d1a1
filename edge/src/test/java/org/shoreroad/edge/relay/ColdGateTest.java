package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.peer.HeartbeatAdditions.ColdReport;
import org.shoreroad.edge.sync.Evacuations;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.ColdStart;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/** Evidence of coldness from the list, starts, zones and peers, and its effect on the choice. */
class ColdGateTest extends UpstreamFixture {
  private static final ColdStart COLD = new ColdStart(3, 2);
  private TrafficConfig config = config(COLD);
  private final ColdGate gate =
      new ColdGate("p", fleet, () -> config, () -> nowNanos, log, new EdgeMetrics());

  private static TrafficConfig config(ColdStart coldStart) {
    return config(coldStart, null);
  }

  private static TrafficConfig config(ColdStart coldStart, @Nullable ColdStart plainColdStart) {
    return TrafficConfig.of(
        1,
        List.of(),
        List.of(
            new UpstreamService("llm", 100, LLM.engine(), coldStart),
            new UpstreamService("web", 100, null, plainColdStart)),
        null,
        CallerLimits.DEFAULT);
  }

  @BeforeEach
  void connect() {
    backpressure.setGates(gate, new ZoneGate(fleet, new Evacuations(log)));
    gate.setSharers(Set.of("p"));
  }

  private static Incarnation incarnation(String id) {
    return new Incarnation(id, 0);
  }

  private void advance(int millis) {
    nowNanos += TimeUnit.MILLISECONDS.toNanos(millis);
    gate.update(true);
  }

  @Test
  void whatIsListedBeforeTrafficIsNotCold() {
    list("h1", "OPEN");
    gate.update(false);
    list("h2", "OPEN");
    gate.update(true);
    assertThat(gate.coldCount(), is(0));
    assertThat(backpressure.maySendTo(fleet.find("h2")), is(true));
  }

  @Test
  void anUpstreamThatAppearsDuringTrafficIsCold() {
    gate.update(true);
    list("h1", "OPEN");
    assertThat("at once", backpressure.maySendTo(fleet.find("h1")), is(false));
    assertThat(selector.findHeldBack(LLM, "m"), is(Refusal.COLD));
    assertThat(gate.coldCount(), is(1));
    advance(2_100);
    assertThat("after the pause", backpressure.maySendTo(fleet.find("h1")), is(true));
    advance(900);
    assertThat(gate.coldCount(), is(0));
    advance(3_000);
    assertThat(backpressure.isLimited(incarnation("h1")), is(false));
  }

  @Test
  void aStatementOfTheEntryEndsTheAssumption() {
    gate.update(true);
    list("h1", "OPEN");
    gate.recordEntry(incarnation("h1"), 0);
    assertThat(gate.coldCount(), is(0));
    gate.recordEntry(incarnation("h1"), 9_000);
    assertThat(gate.coldCount(), is(1));
    assertThat(gate.reports().size(), is(1));
    gate.recordEntry(new Incarnation("h1", 7), 0);
    assertThat("another incarnation", gate.coldCount(), is(1));
  }

  @Test
  void anEntryThatLapsedAndReturnsIsNoStart() {
    list("h1", "OPEN");
    gate.update(true);
    list("h1", null);
    advance(1_000);
    list("h1", "OPEN");
    advance(100);
    assertThat(gate.coldCount(), is(0));
  }

  @Test
  void servicesWithoutAColdRateAreNotLimited() {
    gate.update(true);
    list("w1", "web");
    gate.recordEntry(incarnation("w1"), 5_000);
    gate.applyReports(List.of(new ColdReport(incarnation("w1"), 5_000)));
    assertThat(gate.coldCount(), is(0));
    assertThat(backpressure.maySendTo(fleet.find("w1")), is(true));
  }

  @Test
  void withoutAConfigurationNothingIsLimited() {
    config = null;
    gate.update(true);
    list("h1", "OPEN");
    gate.recordEntry(incarnation("h1"), 5_000);
    assertThat(gate.coldCount(), is(0));
  }

  @Test
  void whatAnEntryStatesBeforeTheRateIsDeclaredCounts() {
    config = null;
    list("h1", "OPEN");
    list("h2", "OPEN");
    gate.recordEntry(incarnation("h1"), 5_000);
    gate.recordEntry(incarnation("h2"), 5_000);
    gate.recordEntry(incarnation("h2"), 0);
    advance(1_000);
    config = config(COLD);
    assertThat(backpressure.maySendTo(fleet.find("h1")), is(false));
    assertThat(backpressure.maySendTo(fleet.find("h2")), is(true));
    assertThat("for the time that is left", gate.reports(), contains(report("h1", 4_000)));
  }

  @Test
  void whatAnEntryStatesEndsAlsoWithoutADeclaredRate() {
    config = null;
    list("h1", "OPEN");
    gate.recordEntry(incarnation("h1"), 5_000);
    advance(5_000);
    config = config(COLD);
    assertThat(backpressure.maySendTo(fleet.find("h1")), is(true));
    assertThat(gate.coldCount(), is(0));
  }

  private static ColdReport report(String id, int remainingMs) {
    return new ColdReport(incarnation(id), remainingMs);
  }

  @Test
  void plainUpstreamsKeepTheWholeRateBesideGrants() {
    config = config(COLD, COLD);
    gate.setGranting(true);
    list("w1", "web");
    list("h1", "OPEN");
    gate.update(true);
    gate.recordEntry(incarnation("w1"), 10_000);
    gate.recordEntry(incarnation("h1"), 10_000);
    assertThat(sentInSeconds("w1", 6), greaterThan(6));
    assertThat(sentInSeconds("h1", 3), lessThanOrEqualTo(3));
  }

  private int sentInSeconds(String id, int seconds) {
    int sent = 0;
    for (int i = 0; i < seconds * 100; i++) {
      advance(10);
      boolean isSent = gate.takeTurn(incarnation(id)) && gate.confirmSend(incarnation(id));
      sent += isSent ? 1 : 0;
    }
    return sent;
  }

  @Test
  void aColdMemberMakesItsHeadCold() {
    list("h1", "OPEN");
    list("m1", MEMBER_OF + "h1");
    list("h2", "OPEN");
    gate.update(true);
    gate.recordEntry(incarnation("m1"), 4_000);
    gate.update(true);
    assertThat(backpressure.maySendTo(fleet.find("h1")), is(false));
    assertThat(backpressure.maySendTo(fleet.find("h2")), is(true));
    assertThat(choose(Set.of()), is("h2"));
    assertThat("own evidence only", gate.reports().size(), is(1));
    advance(4_100);
    assertThat(gate.coldCount(), is(0));
  }

  @Test
  void aHeadThatOpensWithAColdMemberIsColdAtOnce() {
    list("h1", "JOINING");
    list("m1", MEMBER_OF + "h1");
    gate.update(true);
    gate.recordEntry(incarnation("m1"), 4_000);
    list("h1", "OPEN");
    assertThat(backpressure.maySendTo(fleet.find("h1")), is(false));
  }

  @Test
  void reportsOfPeersCountForKnownIncarnationsOnly() {
    list("h1", "OPEN");
    gate.applyReports(
        List.of(
            new ColdReport(new Incarnation("h1", 9), 5_000),
            new ColdReport(incarnation("stranger"), 5_000)));
    assertThat(gate.coldCount(), is(0));
    gate.applyReports(List.of(new ColdReport(incarnation("h1"), 5_000)));
    assertThat(gate.coldCount(), is(1));
    assertThat("not passed on", gate.reports(), is(empty()));
  }

  @Test
  void theUpstreamsOfAReturnedZoneAreCold() {
    list("h1@a", "OPEN");
    list("h2@b", "OPEN");
    gate.update(true);
    gate.onZoneReturned("a");
    assertThat(gate.coldCount(), is(1));
    gate.recordEntry(incarnation("h1@a"), 0);
    assertThat("the entry may be older than the return", gate.coldCount(), is(1));
    assertThat(choose(Set.of("h2@b")), is(nullValue()));
    advance(2_600);
    gate.recordEntry(incarnation("h1@a"), 0);
    assertThat(gate.coldCount(), is(0));
  }

  @Test
  void grantsAreLimitedWhileAHeadIsCold() {
    list("h1", "OPEN");
    gate.update(true);
    assertThat(gate.grantsPerSecond(fleet.find("h1")), is(Double.POSITIVE_INFINITY));
    gate.recordEntry(incarnation("h1"), 4_000);
    assertThat("in the pause", gate.grantsPerSecond(fleet.find("h1")), is(0.0));
    advance(1_000);
    assertThat(gate.grantsPerSecond(fleet.find("h1")), is(1.0));
  }

  @Test
  void aGrantedRequestNeedsNoTurn() {
    list("h1", "OPEN");
    gate.update(true);
    gate.recordEntry(incarnation("h1"), 4_000);
    advance(1_000);
    assertThat(backpressure.maySendTo(fleet.find("h1")), is(false));
    assertThat(backpressure.permitsGranted(fleet.find("h1")), is(true));
    assertThat(backpressure.confirmGranted(incarnation("h1")), is(true));
  }

  @Test
  void aGrantOfAnOwnerThatDoesNotKnowOfTheColdnessIsNotUsed() {
    list("h1", "OPEN");
    gate.update(true);
    assertThat(backpressure.permitsGranted(fleet.find("h1")), is(true));
    gate.recordEntry(incarnation("h1"), 4_000);
    advance(900);
    assertThat(backpressure.permitsGranted(fleet.find("h1")), is(false));
    assertThat("chosen before", backpressure.confirmGranted(incarnation("h1")), is(false));
    advance(100);
    assertThat(backpressure.confirmGranted(incarnation("h1")), is(true));
  }
}
