package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.ObservedBox.Reach;

class ReplicaConversionTest {
  private static final List<ModelShape> MODELS =
      List.of(
          new ModelShape("large", 4, 0.67, 1, 16, 1.6),
          new ModelShape("small", 2, 0.33, 0.6, 12, 1.1));
  private static final long SECOND_NANOS = 1_000_000_000L;

  private final ReplicaConversion conversion = new ReplicaConversion("d");
  private final List<ObservedBox> observedBoxes = new ArrayList<>();

  /** Initially a second that is not the turn of this domain. */
  private long nowNanos = (8 * 125 + 1 - "d".hashCode() % 8) * SECOND_NANOS;

  private Demand demand = demand(0.9, 0.2);
  private boolean hasLoss;

  private static Demand demand(double large, double small) {
    return new Demand(Map.of("large", large, "small", small), Map.of("large", 3, "small", 8), true);
  }

  private void addSmallReplica(String name) {
    ReplicaId replica = new ReplicaId(name, 1);
    for (int rank = 0; rank < 2; rank++) {
      MemberState state = rank == 0 ? MemberState.OPEN : MemberState.READY;
      add(name + rank, "small", new Membership(replica, rank, state));
    }
  }

  private void add(String id, String lastModel, Membership membership) {
    String model = membership == null ? null : lastModel;
    FleetBox box =
        new FleetBox(
            id, "llm", id, "z", 4, false, "d", model, List.of("large", "small"), membership);
    observedBoxes.add(new ObservedBox(box, true, Reach.LIKELY, true, true, false, lastModel));
  }

  private List<String> choose() {
    return choose(conversion);
  }

  private List<String> choose(ReplicaConversion chosenBy) {
    DomainView view = new DomainView(observedBoxes);
    List<ObservedReplica> replicas = List.copyOf(ObservedReplica.from(observedBoxes).values());
    replicas.forEach(replica -> view.bindRetained(replica.members(), "small"));
    if (hasLoss) {
      view.recordDissolving(true);
    }
    DomainPacking packing = DomainPacking.of(MODELS, demand, observedBoxes);
    Map<String, Integer> wanted = new HashMap<>(view.retained());
    packing
        .fill(view.available(), view.retained())
        .forEach((name, more) -> wanted.merge(name, more, Integer::sum));
    return chosenBy.choose(view, packing, wanted, replicas, nowNanos).stream()
        .map(replica -> replica.replica().name())
        .toList();
  }

  private void addAvailableBoxes() {
    for (int i = 0; i < 3; i++) {
      add("free" + i, "large", null);
    }
  }

  @Test
  void smallReplicaIsClosedWhenBoxesBecomeAvailableForAModelUnderHigherPressure() {
    addSmallReplica("a");
    addSmallReplica("b");
    assertThat(choose(), is(empty()));
    addAvailableBoxes();
    assertThat(choose().size(), is(1));
  }

  @Test
  void noReplicaIsClosedForAModelUnderLowerPressure() {
    demand = demand(0.2, 0.9);
    addSmallReplica("a");
    assertThat(choose(), is(empty()));
    addAvailableBoxes();
    assertThat(choose(), is(empty()));
  }

  @Test
  void noReplicaIsClosedForBoxesAvailableSinceTheFirstCall() {
    addSmallReplica("a");
    addAvailableBoxes();
    assertThat(choose(), is(empty()));
    assertThat(choose(), is(empty()));
  }

  @Test
  void replicaIsClosedForAModelUnderHighPressureInTheTurnOfTheDomain() {
    addSmallReplica("a");
    addAvailableBoxes();
    assertThat(choose(), is(empty()));
    nowNanos += 7 * SECOND_NANOS;
    assertThat(choose().size(), is(1));
  }

  @Test
  void noReplicaIsClosedForAModelUnderModeratePressure() {
    demand = demand(0.7, 0.1);
    addSmallReplica("a");
    addAvailableBoxes();
    for (int second = 0; second < 16; second++) {
      assertThat(choose(), is(empty()));
      nowNanos += SECOND_NANOS;
    }
  }

  @Test
  void replicasAreClosedImmediatelyForAModelWithoutReplica() {
    demand = new Demand(Map.of("small", 0.2), Map.of("small", 8), true);
    addSmallReplica("a");
    addSmallReplica("b");
    assertThat(choose().size(), is(2));
  }

  @Test
  void noReplicaIsClosedWithinTheIntervalAfterAConversion() {
    addSmallReplica("a");
    addSmallReplica("b");
    choose();
    addAvailableBoxes();
    assertThat(choose().size(), is(1));
    add("later", "large", null);
    nowNanos += 5 * SECOND_NANOS;
    assertThat(choose(), is(empty()));
    add("latest", "large", null);
    nowNanos += 2 * SECOND_NANOS;
    assertThat(choose().size() <= 2, is(true));
  }

  /** Returns a demand in which two domains gain by one more large replica instead of two small. */
  private static Demand strained(double largeNeed, double largeRise, double smallPeak) {
    Demand.Strain strain =
        new Demand.Strain(
            Map.of("large", largeNeed, "small", 2.4),
            Map.of("large", largeNeed, "small", smallPeak),
            Map.of(),
            Map.of("large", largeRise));
    return new Demand(
        Map.of("large", largeNeed / 3, "small", 0.3), Map.of("large", 3, "small", 8), true, strain);
  }

  private void addTwoSmallReplicas() {
    addSmallReplica("a");
    addSmallReplica("b");
  }

  @Test
  void asManyFirstDomainsAsGainActAtOnceWhileRequestsAreRefused() {
    addTwoSmallReplicas();
    demand = strained(4.8, 0, 2.4);
    for (int rank = 0; rank < 4; rank++) {
      ReplicaConversion ranked = new ReplicaConversion("d");
      ranked.setRank(rank);
      assertThat(choose(ranked), is(empty()));
      nowNanos += SECOND_NANOS / 2;
      assertThat(choose(ranked).size(), is(rank < 2 ? 2 : 0));
      nowNanos -= SECOND_NANOS / 2;
    }
  }

  @Test
  void laterDomainActsInItsTurnIfTheFirstOnesDoNot() {
    addTwoSmallReplicas();
    demand = strained(4.8, 0, 2.4);
    conversion.setRank(3);
    for (int second = 0; second < 7; second++) {
      assertThat(choose(), is(empty()));
      nowNanos += SECOND_NANOS;
    }
    assertThat(choose().size(), is(2));
  }

  @Test
  void laterDomainsActWithinFourSecondsIfTheFirstOnesLeaveAModelUnserved() {
    addTwoSmallReplicas();
    demand =
        new Demand(
            Map.of("large", Demand.NO_REPLICA_PRESSURE, "small", 0.3),
            Map.of("large", 0, "small", 8),
            true,
            strained(4.8, 0, 2.4).strain());
    conversion.setRank(30);
    int closed = 0;
    int seconds = 0;
    for (int step = 0; step <= 16 && closed == 0; step++) {
      closed = choose().size();
      seconds = step / 4;
      nowNanos += SECOND_NANOS / 4;
    }
    assertThat(closed, is(2));
    assertThat(seconds, is(greaterThanOrEqualTo(2)));
  }

  @Test
  void domainThatLostAReplicaActsAtOnce() {
    addTwoSmallReplicas();
    demand = strained(4.8, 0, 2.4);
    conversion.setRank(3);
    assertThat(choose(), is(empty()));
    // Two boxes suffice for one more large replica together with one small replica.
    add("free0", "large", null);
    add("free1", "large", null);
    hasLoss = true;
    assertThat(choose().size(), is(1));
  }

  @Test
  void singleSpareBoxThatBecomesAvailableIsNoReasonWhileRequestsAreRefused() {
    addTwoSmallReplicas();
    demand = strained(4.8, 0, 2.4);
    conversion.setRank(3);
    assertThat(choose(), is(empty()));
    add("free0", "large", null);
    hasLoss = true;
    assertThat(choose(), is(empty()));
  }

  @Test
  void noReplicaIsClosedForADemandThatFallsSoon() {
    addTwoSmallReplicas();
    demand = strained(4.8, -0.2, 2.4);
    conversion.setRank(0);
    choose();
    nowNanos += SECOND_NANOS;
    assertThat(choose(), is(empty()));
  }

  @Test
  void noReplicaIsClosedThatItsModelNeededShortlyBefore() {
    addTwoSmallReplicas();
    demand = strained(4.8, 0, 12);
    conversion.setRank(0);
    choose();
    nowNanos += SECOND_NANOS;
    assertThat(choose(), is(empty()));
  }

  @Test
  void conversionIsReportedOnceWithBothPressures() {
    addTwoSmallReplicas();
    demand = strained(4.8, 0, 2.4);
    conversion.setRank(0);
    choose();
    assertThat(conversion.takeUnreported(), is(nullValue()));
    nowNanos += SECOND_NANOS;
    choose();
    Conversion taken = conversion.takeUnreported();
    assertThat(taken.closed().size(), is(2));
    assertThat(taken.pressureBefore(), is(closeTo(1.6, 1e-9)));
    assertThat(taken.pressureAfter(), is(closeTo(1.2, 1e-9)));
    assertThat(taken.isStrained(), is(true));
    assertThat(conversion.takeUnreported(), is(nullValue()));
  }
}
