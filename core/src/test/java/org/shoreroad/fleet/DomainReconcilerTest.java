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

  /** Every host is prepared by then, one load after the other. */
  private static final double SETTLE_SECONDS = 120;

  private final EngineSpec spec = FakeDomain.spec();
  private final Random random = new Random(17);
  private final FakeDomain domain = new FakeDomain(spec, random);
  private final Set<ReplicaId> headsSeen = new HashSet<>();
  private final List<BoxOrder> given = new ArrayList<>();
  private Demand demand = Demand.NONE;
  private long epoch;
  private DomainReconciler keeper = newKeeper();

  private DomainReconciler newKeeper() {
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
          keeper.decide(domain.nowNanos(), spec, observedBoxes, plan, headsSeen, demandNow())) {
        given.add(order);
        if (domain.give(order)) {
          keeper.recordAccepted(order, domain.nowNanos());
        }
      }
    }
  }

  /** Returns the demand with the replicas that stand; a model without one is pressed beyond all. */
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
  void formsWhatThePlanWantsAndLetsTheReserveServe() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.countOpen("small"), is(2L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void givesNoOrderWhileAllStands() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    given.clear();
    run(20);
    assertThat(given, is(empty()));
  }

  @Test
  void mendsAReplicaThatLostAMember() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.kill(memberOf("large"));
    run(20);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void keepsMembersBoundUntilASilentHeadIsDeadForCertain() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    String head = headOf("large");
    ReplicaId replica = domain.openReplicaOf(head);
    domain.cut(head, true);
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

  @Test
  void closesAHeadThatIsOffTheListButAnswers() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.cut(headOf("small"), false);
    run(20);
    assertThat(domain.countOpen("small"), is(greaterThanOrEqualTo(1L)));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void replacesALeavingMemberAfterItsWork() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    String leaving = memberOf("large");
    domain.leaveSoon(leaving);
    given.clear();
    run(10);
    assertThat(
        given.stream().filter(o -> o.verb() == BoxOrder.Verb.CLOSE_NOW).toList(), is(empty()));
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void adoptsWhatStandsAfterTheKeeperIsReplaced() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    keeper = newKeeper();
    headsSeen.clear();
    given.clear();
    run(10);
    assertThat(given, is(empty()));
  }

  @Test
  void opensWhatAnEarlierKeeperLeftReady() {
    addBoxes(BOXES);
    run(5);
    keeper = newKeeper();
    run(SETTLE_SECONDS);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.countOpen("small"), is(2L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void givesTheReserveUpForAWantedReplica() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.kill(memberOf("large"));
    run(8);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.countOpen("small"), is(1L));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void aSoundReplicaThatMakesRoomAfterALossIsNotClosedInTheMiddleOfItsAnswers() {
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
  void aReplicaThatMovesIsNotClosedInTheMiddleOfItsAnswersForAMemberThatDoesNotAnswer() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.mute(memberOf("large"));
    given.clear();
    run(8);
    assertThat(
        given.stream().filter(o -> o.verb() == BoxOrder.Verb.CLOSE_NOW).toList(), is(empty()));
    assertThat(domain.violations(), is(empty()));
  }

  @Test
  void aReplicaThatStandsStillForALostMemberIsClosedAtOnce() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    domain.kill(memberOf("large"));
    given.clear();
    run(1);
    assertThat(
        given.stream().map(BoxOrder::verb).filter(BoxOrder.Verb.CLOSE_NOW::equals).count(), is(1L));
  }

  @Test
  void oneReplicaIsClosedForOneThatLacksBoxes() {
    for (int seed = 0; seed < 20; seed++) {
      DomainReconcilerTest play = new DomainReconcilerTest();
      play.domain.setReportLagNanos(200_000_000L);
      play.addBoxes(BOXES);
      play.run(SETTLE_SECONDS + seed);
      play.domain.kill(play.memberOf("large"));
      play.given.clear();
      play.run(8);
      List<String> closed =
          play.given.stream()
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
  void boxesTakeUpWhatTheyHeldLastThoughAnotherModelLiesOnTheirHosts() {
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
    // A load would take sixteen seconds.
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(
        given.stream()
            .filter(o -> o.verb() == BoxOrder.Verb.STAGE && members.contains(o.boxId()))
            .toList(),
        is(empty()));
  }

  @Test
  void aHeadThatOpensSlowlyIsNotToldAgainAllTheTime() {
    domain.setFormNanos(2 * FakeDomain.SECOND_NANOS);
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.countOpen("small"), is(2L));
  }

  @Test
  void aHeadThatCannotBeOpenedIsLetGo() {
    addBoxes(BOXES);
    run(SETTLE_SECONDS);
    ReplicaId replica = domain.openReplicaOf(headOf("large"));
    BoxOrder opening = BoxOrder.of(headOf("large"), BoxOrder.Verb.OPEN, replica, "test");
    domain.closeAtOnce(headOf("large"));
    keeper.recordRejected(opening, domain.nowNanos());
    run(5);
    assertThat(domain.countOpen("large"), is(1L));
    assertThat(domain.openReplicaOf(headOf("large")).equals(replica), is(false));
  }

  @Test
  void aSpareBoxHoldsAModelOnceSoThatItTakesItUpAtOnce() {
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
  void loadsOfANewDomainInTrafficBeginFewAtATime() {
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
  void nothingIsFormedOnTheListAlone() {
    domain.setConfirmed(false);
    addBoxes(BOXES);
    run(5);
    assertThat(given, is(empty()));
    assertThat(keeper.needsReports(), is(true));
    domain.setConfirmed(true);
    run(SETTLE_SECONDS);
    assertThat(domain.countOpen("large"), is(1L));
  }

  @Test
  void boxesAreNotAskedForAReplicaThatStillWaitsForWeights() {
    demand = new Demand(Map.of("large", 0.5, "small", 0.5), Map.of(), true);
    domain.setConfirmed(false);
    addBoxes(BOXES);
    run(5);
    assertThat(keeper.needsReports(), is(false));
    assertThat(given.stream().anyMatch(order -> order.verb() == BoxOrder.Verb.STAGE), is(true));
  }

  @Test
  void holdsBothRulesUnderAnyMixOfFaults() {
    for (int seed = 0; seed < 300; seed++) {
      playFaults(seed);
    }
  }

  private void playFaults(int seed) {
    DomainReconcilerTest play = new DomainReconcilerTest();
    Random faults = new Random(seed);
    play.addBoxes(BOXES);
    play.run(60);
    for (int i = 0; i < 30; i++) {
      play.strike(faults);
      play.run(faults.nextDouble() * 3);
    }
    assertThat("seed " + seed, play.domain.violations(), is(empty()));
    play.domain.setLateShare(0);
    play.domain.liveIds().forEach(play.domain::heal);
    play.domain.endLeaving();
    play.addBoxes(Math.max(0, BOXES - play.domain.liveIds().size()));
    play.run(2 * SETTLE_SECONDS);
    assertThat("seed " + seed, play.domain.violations(), is(empty()));
    assertThat("seed " + seed, play.domain.countOpen("large"), is(greaterThanOrEqualTo(1L)));
    assertThat("seed " + seed, play.domain.countOpen("small"), is(greaterThanOrEqualTo(1L)));
    play.given.clear();
    play.run(10);
    assertThat("seed " + seed + " settles", play.given.size(), is(lessThan(12)));
  }

  private void strike(Random faults) {
    List<String> live = domain.liveIds();
    String id = live.isEmpty() ? domain.addBox() : live.get(faults.nextInt(live.size()));
    switch (faults.nextInt(8)) {
      case 0 -> domain.kill(id);
      case 1 -> domain.cut(id, true);
      case 2 -> domain.cut(id, false);
      case 3 -> live.forEach(domain::heal);
      case 4 -> domain.setLateShare(faults.nextDouble() * 0.5);
      case 5 -> domain.addBox();
      case 6 -> domain.leaveSoon(id);
      default -> keeper = newKeeper();
    }
  }
}
