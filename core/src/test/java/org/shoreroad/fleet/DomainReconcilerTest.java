package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class DomainReconcilerTest {
  private static final int BOXES = 8;

  /** Covers the loads to all hosts one after the other. */
  private static final double SETTLE_SECONDS = 120;

  private final EngineSpec spec = FakeDomain.spec();
  private final Random random = new Random(17);
  private final FakeDomain domain = new FakeDomain(spec, random);
  private final Set<ReplicaId> headsSeen = new HashSet<>();
  private final List<BoxOrder> given = new ArrayList<>();
  private Demand demand = Demand.NONE;
  private long epoch;
  private DomainReconciler reconciler = newReconciler();

  private DomainReconciler newReconciler() {
    return new DomainReconciler("d", ReconcilerTiming.DEFAULT, () -> ++epoch);
  }

  private void addBoxes(int count) {
    for (int i = 0; i < count; i++) {
      domain.addBox();
    }
  }

  private void run(double seconds) {
    long endNanos = domain.nowNanos() + (long) (seconds * FakeDomain.SECOND_NANOS);
    while (domain.nowNanos() < endNanos) {
      domain.step();
      List<ObservedBox> observedBoxes = domain.observedBoxes();
      for (ObservedBox observed : observedBoxes) {
        Membership membership = observed.box().membership();
        if (membership != null && membership.isHead()) {
          headsSeen.add(membership.replica());
        }
      }
      observedBoxes.removeIf(ObservedBox::isDead);
      int fit =
          (int) observedBoxes.stream().filter(s -> s.isListed() && !s.box().isLeaving()).count();
      ReplicaPlan plan = ReplicaPlan.of(spec, Map.of("d", fit));
      for (BoxOrder order :
          reconciler.decide(domain.nowNanos(), spec, observedBoxes, plan, headsSeen, demandNow())) {
        given.add(order);
        if (domain.give(order)) {
          reconciler.recordAccepted(order, domain.nowNanos());
        }
      }
    }
  }

  /** Returns the demand with the open replicas. A model without one has a pressure of 1,000. */
  private Demand demandNow() {
    Map<String, Double> pressures = new HashMap<>(demand.pressures());
    Map<String, Integer> replicas = new HashMap<>();
    for (ModelShape model : spec.models()) {
      int open = (int) domain.countOpen(model.name());
      replicas.put(model.name(), open);
      if (open == 0) {
        pressures.put(model.name(), 1_000.0);
      }
    }
    return new Demand(pressures, replicas, demand.hasTraffic());
  }

  private String headOf(String model) {
    return domain.observedBoxes().stream()
        .map(ObservedBox::box)
        .filter(box -> box.isOpenHead() && model.equals(box.model()))
        .findFirst()
        .orElseThrow()
        .id();
  }

  private String memberOf(String model) {
    return domain.observedBoxes().stream()
        .map(ObservedBox::box)
        .filter(box -> model.equals(box.model()) && box.membership() != null)
        .filter(box -> !box.membership().isHead())
        .findFirst()
        .orElseThrow()
        .id();
  }

  @Test
  void plannedReplicasAndReserveAreFormed() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.countOpen("small"), is(2L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void noOrderIsGivenToACompleteDomain() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    given.clear();
    run(20);
    assertThat(given, is(empty()));
  }

  @Test
  void replicaThatLostAMemberIsReplaced() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.kill(memberOf("large"));
    run(20);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void membersOfASilentHeadGetNoOrdersUntilItIsCertainlyDead() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    String head = headOf("large");
    ReplicaId replica = domain.openReplicaOf(head);
    domain.disconnect(head, true);
    given.clear();
    run(4);
    Set<String> members = new HashSet<>();
    for (ObservedBox observed : domain.observedBoxes()) {
      Membership membership = observed.box().membership();
      if (membership != null && membership.replica().equals(replica)) {
        members.add(observed.box().id());
      }
    }
    given.removeIf(order -> !members.contains(order.boxId()));
    assertThat(given, is(empty()));
    run(30);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.violations(), is(empty()));
  }

  /** Guards against members that are taken from a head which is open and reaches them. */
  @Test
  void membersOfAHeadThatIsOnlyCutOffLeaveBeforeTheyJoinAnotherReplica() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    String head = headOf("large");
    domain.cutOff(head);
    run(30);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.violations(), is(empty()));
    domain.reconnect(head);
    run(30);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void replicaOfAnUnlistedHeadThatAnswersIsReplaced() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.disconnect(headOf("small"), false);
    run(20);
    assertThat(domain.countOpen("small"), is(greaterThanOrEqualTo(1L)));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void leavingMemberIsReplacedAfterItsRequestsFinish() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    String leaving = memberOf("large");
    domain.announceLeaving(leaving);
    given.clear();
    run(10);
    assertThat(
        given.stream().filter(o -> o.verb() == BoxOrder.Verb.CLOSE_NOW).toList(), is(empty()));
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void newReconcilerRetainsOpenReplicas() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    reconciler = newReconciler();
    headsSeen.clear();
    given.clear();
    run(10);
    assertThat(given, is(empty()));
  }

  @Test
  void newReconcilerCompletesUnfinishedFormations() {
    addBoxes(BOXES);
    run(5);
    reconciler = newReconciler();
    run(SETTLE_SECONDS);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.countOpen("small"), is(2L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void reserveReplicaIsClosedForAPlannedReplica() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.kill(memberOf("large"));
    run(8);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.countOpen("small"), is(1L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void reserveReplicaClosedAfterALossFinishesItsRequests() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.kill(memberOf("large"));
    given.clear();
    run(8);
    List<BoxOrder.Verb> closings =
        given.stream()
            .filter(order -> String.valueOf(order.replica()).contains("small"))
            .map(BoxOrder::verb)
            .filter(
                verb -> verb == BoxOrder.Verb.CLOSE_AFTER_WORK || verb == BoxOrder.Verb.CLOSE_NOW)
            .toList();
    assertThat(closings, is(List.of(BoxOrder.Verb.CLOSE_AFTER_WORK)));
    assertThat(domain.countOpen("large"), is(1L));
  }

  @Test
  void progressingReplicaWithASilentMemberFinishesItsRequests() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.silence(memberOf("large"));
    given.clear();
    run(8);
    assertThat(
        given.stream().filter(o -> o.verb() == BoxOrder.Verb.CLOSE_NOW).toList(), is(empty()));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void stalledReplicaThatLostAMemberIsClosedImmediately() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.kill(memberOf("large"));
    given.clear();
    run(1);
    assertThat(
        given.stream().map(BoxOrder::verb).filter(BoxOrder.Verb.CLOSE_NOW::equals).count(), is(1L));
  }

  @Test
  void onlyOneReplicaIsClosedForAReplicaThatLacksBoxes() {
    for (int seed = 0; seed < 20; seed++) {
      DomainReconcilerTest simulation = new DomainReconcilerTest();
      simulation.domain.setReportLagNanos(200_000_000L);
      simulation.addBoxes(BOXES);
      simulation.run(SETTLE_SECONDS + seed);
      simulation.domain.kill(simulation.memberOf("large"));
      simulation.given.clear();
      simulation.run(8);
      List<String> closed =
          simulation.given.stream()
              .filter(
                  order ->
                      order.verb() == BoxOrder.Verb.CLOSE_NOW
                          || order.verb() == BoxOrder.Verb.CLOSE_AFTER_WORK)
              .map(order -> String.valueOf(order.replica()))
              .filter(replica -> replica.contains("small"))
              .distinct()
              .toList();
      assertThat("seed " + seed, closed.size(), is(1));
    }
  }

  @Test
  void boxesRejoinTheirLastModelThoughAnotherIsOnTheirHosts() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    demand = new Demand(Map.of("large", 0.9, "small", 0.1), Map.of(), true);
    List<String> members =
        domain.observedBoxes().stream()
            .map(ObservedBox::box)
            .filter(box -> "large".equals(box.model()))
            .map(FleetBox::id)
            .toList();
    members.forEach(id -> domain.putOnHost(id, "small"));
    given.clear();
    domain.leaveAtOnce(headOf("large"));
    run(5);
    // A load from the weight store would take 16 s.
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(
        given.stream()
            .filter(o -> o.verb() == BoxOrder.Verb.STAGE && members.contains(o.boxId()))
            .toList(),
        is(empty()));
  }

  @Test
  void openingOfASlowHeadIsNotRestartedByRepeatedOrders() {
    domain.setOpenNanos(2 * FakeDomain.SECOND_NANOS);
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.countOpen("small"), is(2L));
  }

  @Test
  void replicaWhoseHeadRejectsOpeningIsReplaced() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    ReplicaId replica = domain.openReplicaOf(headOf("large"));
    BoxOrder opening = BoxOrder.of(headOf("large"), BoxOrder.Verb.OPEN, replica, "test");
    domain.closeAtOnce(headOf("large"));
    reconciler.recordRejected(opening, domain.nowNanos());
    run(5);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.openReplicaOf(headOf("large")).equals(replica), is(false));
  }

  @Test
  void spareBoxIsWarmedUpOnce() {
    addBoxes(BOXES + 1);
    run(SETTLE_SECONDS + 20);
    List<ObservedBox> spares =
        domain.observedBoxes().stream().filter(s -> s.box().membership() == null).toList();
    assertThat(spares.size(), is(1));
    assertThat(spares.get(0).lastModel() != null, is(true));
    given.clear();
    run(20);
    assertThat(given, is(empty()));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void concurrentLoadsOfANewDomainUnderTrafficAreLimited() {
    demand = new Demand(Map.of("large", 0.5, "small", 0.5), Map.of(), true);
    addBoxes(BOXES);
    run(5);
    long loads =
        given.stream()
            .filter(order -> order.verb() != BoxOrder.Verb.OPEN)
            .map(BoxOrder::boxId)
            .distinct()
            .count();
    assertThat(loads, is(3L));
    run(SETTLE_SECONDS);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.countOpen("small"), is(greaterThanOrEqualTo(1L)));
  }

  @Test
  void noReplicaIsFormedWithoutRecentReports() {
    domain.setConfirmed(false);
    addBoxes(BOXES);
    run(5);
    assertThat(given, is(empty()));
    assertThat(reconciler.needsReports(), is(true));
    domain.setConfirmed(true);
    run(SETTLE_SECONDS);
    assertThat(domain.countOpen("large"), is(1L));
  }

  @Test
  void noReportsAreNeededWhileWeightsAreMissing() {
    demand = new Demand(Map.of("large", 0.5, "small", 0.5), Map.of(), true);
    domain.setConfirmed(false);
    addBoxes(BOXES);
    run(5);
    assertThat(reconciler.needsReports(), is(false));
    assertThat(given.stream().anyMatch(order -> order.verb() == BoxOrder.Verb.STAGE), is(true));
  }

  @Test
  void rulesHoldAndDomainRecoversUnderRandomFaults() {
    for (int seed = 0; seed < 300; seed++) {
      simulateFaults(seed);
    }
  }

  private void simulateFaults(int seed) {
    DomainReconcilerTest simulation = new DomainReconcilerTest();
    Random faults = new Random(seed);
    simulation.addBoxes(BOXES);
    simulation.run(60);
    for (int i = 0; i < 30; i++) {
      simulation.injectFault(faults);
      simulation.run(faults.nextDouble() * 3);
    }
    assertThat("seed " + seed, simulation.domain.violations(), is(empty()));
    simulation.domain.setUnansweredFraction(0);
    simulation.domain.liveIds().forEach(simulation.domain::reconnect);
    simulation.domain.endLeaving();
    simulation.addBoxes(Math.max(0, BOXES - simulation.domain.liveIds().size()));
    simulation.run(2 * SETTLE_SECONDS);
    assertThat("seed " + seed, simulation.domain.violations(), is(empty()));
    assertThat("seed " + seed, simulation.domain.countOpen("large"), is(greaterThanOrEqualTo(1L)));
    assertThat("seed " + seed, simulation.domain.countOpen("small"), is(greaterThanOrEqualTo(1L)));
    simulation.given.clear();
    simulation.run(10);
    assertThat("seed " + seed + " settles", simulation.given.size(), is(lessThan(12)));
  }

  private void injectFault(Random faults) {
    List<String> live = domain.liveIds();
    String id = live.isEmpty() ? domain.addBox() : live.get(faults.nextInt(live.size()));
    switch (faults.nextInt(8)) {
      case 0 -> domain.kill(id);
      case 1 -> domain.disconnect(id, true);
      case 2 -> domain.disconnect(id, false);
      case 3 -> live.forEach(domain::reconnect);
      case 4 -> domain.setUnansweredFraction(faults.nextDouble() * 0.5);
      case 5 -> domain.addBox();
      case 6 -> domain.announceLeaving(id);
      default -> reconciler = newReconciler();
    }
  }
}
