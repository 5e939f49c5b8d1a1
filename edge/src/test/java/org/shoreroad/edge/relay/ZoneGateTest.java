package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.sync.Evacuations;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.fleet.FleetBox;

/** Choice of upstreams while zones are evacuated. */
class ZoneGateTest extends UpstreamFixture {
  private final Evacuations evacuations = new Evacuations(log);
  private final ZoneGate gate = new ZoneGate(fleet, evacuations);
  private long recordOffset;

  @BeforeEach
  void connect() {
    table.setZoneGate(gate);
    ColdGate coldGate =
        new ColdGate("p", fleet, () -> null, () -> nowNanos, log, new EdgeMetrics());
    backpressure.setGates(coldGate, gate);
  }

  private void evacuate(String zone) {
    evacuations.applyRecord(zone, true, StorePosition.of(1, recordOffset++));
  }

  private void withdraw(String zone) {
    evacuations.applyRecord(zone, false, StorePosition.of(1, recordOffset++));
  }

  private List<String> plainIds() {
    return table.candidates(WEB, null).stream().map(FleetBox::id).sorted().toList();
  }

  @Test
  void onlyTheUpstreamsOfOtherZonesAreOffered() {
    list("w1@a", "web");
    list("w2@b", "web");
    list("h1@a", "OPEN");
    list("h2@b", "OPEN");
    assertThat(plainIds(), is(List.of("w1@a", "w2@b")));
    evacuate("a");
    assertThat(plainIds(), is(List.of("w2@b")));
    assertThat(choose(Set.of()), is("h2@b"));
    assertThat(choose(Set.of("h2@b")), is(nullValue()));
  }

  @Test
  void headsInAnEvacuatedZoneAreNoSupply() {
    list("h1@a", "FORMING");
    list("h2@b", "FORMING");
    assertThat(table.heads(LLM).size(), is(2));
    evacuate("a");
    assertThat(table.heads(LLM).stream().map(FleetBox::id).toList(), is(List.of("h2@b")));
  }

  @Test
  void anUpstreamThatAppearsLaterIsNotOffered() {
    evacuate("a");
    list("w1@a", "web");
    assertThat(plainIds(), is(empty()));
    assertThat(backpressure.isEvacuated(fleet.find("w1@a")), is(true));
  }

  @Test
  void aHeadWithAMemberInTheZoneIsNotOffered() {
    list("h1@b", "OPEN");
    list("m1@a", MEMBER_OF + "h1@b");
    assertThat(choose(Set.of()), is("h1@b"));
    evacuate("a");
    assertThat(choose(Set.of()), is(nullValue()));
  }

  /** Membership of other boxes than heads is no change that the fleet counts for the table. */
  @Test
  void aMemberThatIsKnownLaterClosesTheHead() {
    evacuate("a");
    list("m1@a", "JOINING");
    list("h1@b", "OPEN");
    assertThat(choose(Set.of()), is("h1@b"));
    list("m1@a", MEMBER_OF + "h1@b");
    assertThat("last check", backpressure.isEvacuated(fleet.find("h1@b")), is(true));
    nowNanos += TimeUnit.MILLISECONDS.toNanos(100);
    assertThat(choose(Set.of()), is(nullValue()));
  }

  @Test
  void theReasonIsTheEvacuationIfNothingElseIsLeft() {
    list("w1@a", "web");
    assertThat(selector.findHeldBack(WEB, null), is(nullValue()));
    evacuate("a");
    assertThat(selector.findHeldBack(WEB, null), is(Refusal.EVACUATED));
    assertThat(selector.findHeldBack(LLM, "m"), is(nullValue()));
    list("w2@b", "web");
    assertThat(selector.findHeldBack(WEB, null), is(nullValue()));
  }

  @Test
  void aZoneThatIsLostMeanwhileLeavesTheThird() {
    list("w1@a", "web");
    list("w2@b", "web");
    list("w3@c", "web");
    evacuate("a");
    list("w2@b", null);
    nowNanos += TimeUnit.SECONDS.toNanos(4);
    fleet.reconcile(TimeUnit.SECONDS.toNanos(4));
    assertThat(plainIds(), is(List.of("w3@c")));
    withdraw("a");
    assertThat(plainIds(), is(List.of("w1@a", "w3@c")));
  }

  @Test
  void anUpstreamThatDrainsInTheZoneDoesNotComeBackWithIt() {
    list("h1@a", "OPEN");
    list("h2@a", "OPEN");
    evacuate("a");
    list("h1@a", "leaving");
    withdraw("a");
    assertThat(choose(Set.of()), is("h2@a"));
    assertThat(choose(Set.of("h2@a")), is(nullValue()));
  }

  @Test
  void anUnknownZoneHasNoEffect() {
    list("w1@a", "web");
    evacuate("nowhere");
    assertThat(plainIds(), is(List.of("w1@a")));
  }

  @Test
  void replicasOfTheZoneAreNoSupply() {
    list("h1@a", "OPEN");
    list("h2@b", "OPEN");
    DemandMeter meter =
        new DemandMeter(
            table, new TrafficMeter(() -> nowNanos, "z", new EdgeMetrics()), () -> nowNanos);
    assertThat(meter.demand(LLM).replicaCount("m"), is(2));
    evacuate("a");
    assertThat(meter.demand(LLM).replicaCount("m"), is(1));
  }
}
