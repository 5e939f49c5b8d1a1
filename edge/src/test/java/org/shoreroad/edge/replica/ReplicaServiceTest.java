package org.shoreroad.edge.replica;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.FailureDetector;
import org.shoreroad.edge.peer.Heartbeats;
import org.shoreroad.edge.sync.DomainLeases;
import org.shoreroad.edge.sync.Evacuations;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.LeaseStore;
import org.shoreroad.edge.sync.PartitionGrant;
import org.shoreroad.edge.sync.StoreCallback;
import org.shoreroad.edge.sync.StoreEra;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.Demand;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.fleet.ReplicaId;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/** Tests of the reports requested from engines and the orders sent to them, on a manual clock. */
class ReplicaServiceTest {
  private static final long FENCE = 7;
  private static final int STEP_MS = 50;
  private static final int TASKS_AT_ONCE = 8;

  /** Prefix of the ids of boxes whose domain spans zones. */
  private static final String MIXED = "mixed-";

  private static final EngineSpec ENGINE =
      new EngineSpec(
          4, 999, 6, 0, 0, 46_000, 64, 5, 4, 6, 0, List.of(new ModelShape("m", 2, 1, 1, 9, 1)));
  private static final TrafficConfig CONFIG =
      TrafficConfig.of(
          1, List.of(), List.of(new UpstreamService("llm", 9, ENGINE)), null, CallerLimits.DEFAULT);

  private final EmbeddedChannel channel = new EmbeddedChannel();
  private long nowNanos = TimeUnit.HOURS.toNanos(1);
  private final EventLog log = new EventLog("t", () -> nowNanos, OutputStream.nullOutputStream());
  private final Fleet fleet = new Fleet(ReplicaServiceTest::decode, () -> nowNanos, log);
  private final FakeEngines engines = new FakeEngines(() -> nowNanos);
  private final Set<String> suspected = new HashSet<>();
  private final FailureDetector failureDetector = new FailureDetector(() -> nowNanos);
  private final DomainLeases leases =
      new DomainLeases(
          new GrantingStore(),
          channel.eventLoop(),
          () -> nowNanos,
          log,
          "me",
          new NoPeers(),
          fleet::domains);
  private final ReplicaService service =
      new ReplicaService(
          channel.eventLoop(),
          () -> nowNanos,
          log,
          fleet,
          leases,
          engines,
          () -> CONFIG,
          () -> suspected,
          llm -> Demand.NONE,
          failureDetector,
          Set::of,
          5_000);

  /** Decodes a box; one with an id such as {@code a@y} is in zone y, and in the domain of it. */
  private static FleetBox decode(String id, byte[] entry) {
    List<String> staged = entry.length > 1 ? List.of("m") : List.of();
    int at = id.indexOf('@');
    String zone = at < 0 ? "z" : id.substring(at + 1);
    String domain = at < 0 || id.startsWith(MIXED) ? "d" : "d-" + zone;
    return new FleetBox(id, "llm", id + ":1", zone, 4, false, domain, null, staged, null);
  }

  /** Store that grants the only partition to every caller. */
  private static final class GrantingStore implements LeaseStore {
    @Override
    public void join(
        String group, String member, int ttlMs, long gen, StoreCallback<PartitionGrant> callback) {
      callback.onValue(new PartitionGrant(StoreEra.NONE, FENCE, Set.of(0)));
    }

    @Override
    public void leave(String group, String member, long generation) {
      // There is no other member.
    }

    @Override
    public void owner(String group, StoreCallback<String> callback) {
      callback.onValue("");
    }
  }

  /** Peers of a process that is alone. */
  private static final class NoPeers implements DomainLeases.Peers {
    @Override
    public Set<String> ownedDomains() {
      return Set.of();
    }

    @Override
    public Set<String> names() {
      return Set.of();
    }

    @Override
    public int aliveCount() {
      return 1;
    }
  }

  /** Engines that answer at once and accept every order; a join takes {@code joinNanos}. */
  private static final class FakeEngines implements Engines {
    private final Map<String, Membership> memberships = new HashMap<>();
    private final List<String> asked = new ArrayList<>();
    private final List<BoxOrder> orders = new ArrayList<>();
    private final List<Long> fences = new ArrayList<>();
    private final Set<String> refusing = new HashSet<>();
    private final Set<String> silent = new HashSet<>();
    private final Map<String, Long> readyAtNanos = new HashMap<>();
    private final LongSupplier clockNanos;
    private long joinNanos;

    FakeEngines(LongSupplier clockNanos) {
      this.clockNanos = clockNanos;
    }

    @Override
    public void requestReport(FleetBox box, ReportCallback callback) {
      asked.add(box.id());
      if (refusing.contains(box.id())) {
        callback.onFailure(ReportFailure.REFUSED);
        return;
      }
      if (silent.contains(box.id())) {
        callback.onFailure(ReportFailure.NO_ANSWER);
        return;
      }
      Membership membership = memberships.get(box.id());
      if (membership != null && readyAtNanos.getOrDefault(box.id(), 0L) > clockNanos.getAsLong()) {
        membership = new Membership(membership.replica(), membership.rank(), MemberState.JOINING);
      }
      callback.onReport(
          box.withEngineState(membership == null ? null : "m", List.of("m"), membership));
    }

    @Override
    public void order(FleetBox box, BoxOrder order, long fence, OrderCallback callback) {
      orders.add(order);
      fences.add(fence);
      ReplicaId replica = order.replica();
      if (replica != null) {
        switch (order.verb()) {
          case JOIN -> {
            int rank = order.members().indexOf(box.id());
            memberships.put(box.id(), new Membership(replica, rank, MemberState.READY));
            readyAtNanos.put(box.id(), clockNanos.getAsLong() + joinNanos);
          }
          case OPEN -> memberships.put(box.id(), new Membership(replica, 0, MemberState.OPEN));
          case LEAVE -> memberships.remove(box.id());
          default -> memberships.put(box.id(), new Membership(replica, 0, MemberState.READY));
        }
      }
      callback.onOutcome(OrderOutcome.TAKEN);
    }

    private long count(BoxOrder.Verb verb) {
      return orders.stream().filter(order -> order.verb() == verb).count();
    }
  }

  private void list(String id) {
    fleet.onRecord(
        new StoreRecord(
            StorePosition.of(1, fleet.boxes().size()), id, "x".getBytes(StandardCharsets.UTF_8)));
  }

  /** Lists a box whose host holds the model. */
  private void listWithWeights(String id, long offset) {
    fleet.onRecord(
        new StoreRecord(
            StorePosition.of(1, offset), id, "staged".getBytes(StandardCharsets.UTF_8)));
  }

  private void advance(int millis) {
    for (int passed = 0; passed < millis; passed += STEP_MS) {
      long nanos = TimeUnit.MILLISECONDS.toNanos(STEP_MS);
      nowNanos += nanos;
      channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
      // A task that a task schedules without delay runs only at the next call.
      for (int i = 0; i < TASKS_AT_ONCE; i++) {
        channel.runScheduledPendingTasks();
      }
    }
  }

  /** Acquires the leases; a new grant is usable only after a delay. */
  private void acquireLeases() {
    leases.start();
    advance(1_700);
  }

  @Test
  void noReportsOrOrdersWithoutALease() {
    list("a");
    list("b");
    service.start();
    advance(3_000);
    assertThat(engines.asked, is(empty()));
    assertThat(engines.orders, is(empty()));
  }

  @Test
  void leaseHolderFormsTheReplicaWithTheFencingNumber() {
    list("a");
    list("b");
    acquireLeases();
    service.start();
    advance(3_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
    assertThat(engines.fences, everyItem(is(FENCE)));
    assertThat(engines.asked, hasItem("b"));
  }

  @Test
  void joiningBoxesAreRarelyAskedBeforeTheyAreDue() {
    list("a");
    list("b");
    engines.joinNanos = TimeUnit.MILLISECONDS.toNanos(1_000);
    acquireLeases();
    service.start();
    advance(700);
    long joinedNanos = nowNanos;
    engines.asked.clear();
    while (engines.count(BoxOrder.Verb.JOIN) < 2) {
      advance(STEP_MS);
      joinedNanos = nowNanos;
      engines.asked.clear();
    }
    while (nowNanos - joinedNanos < TimeUnit.MILLISECONDS.toNanos(850)) {
      advance(STEP_MS);
    }
    // At 60 ms there would be 14 requests to each of the two boxes; the weights load in a second.
    assertThat(engines.asked.size(), lessThanOrEqualTo(4));
    advance(1_500);
    assertThat(engines.count(BoxOrder.Verb.OPEN), is(1L));
  }

  @Test
  void acceptedOpenOrderIsNotRepeated() {
    list("a");
    list("b");
    acquireLeases();
    service.start();
    advance(3_500);
    assertThat(engines.count(BoxOrder.Verb.OPEN), is(1L));
  }

  private String formAndReturnHead() {
    list("a");
    list("b");
    acquireLeases();
    service.start();
    advance(3_500);
    listWithWeights("c", 50);
    return engines.orders.stream()
        .filter(order -> order.verb() == BoxOrder.Verb.OPEN)
        .findFirst()
        .orElseThrow()
        .boxId();
  }

  private void removeFromList(String id) {
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 100), id, null));
    fleet.reconcile(TimeUnit.MINUTES.toNanos(1));
  }

  @Test
  void unlistedHeadThatAnswersIsClosed() {
    String head = formAndReturnHead();
    removeFromList(head);
    advance(2_000);
    assertThat(engines.count(BoxOrder.Verb.CLOSE_AFTER_WORK), is(1L));
  }

  @Test
  void membersOfRefusingUnlistedHeadStayBoundUntilItsRequestsHaveEnded() {
    String head = formAndReturnHead();
    engines.refusing.add(head);
    removeFromList(head);
    engines.orders.clear();
    advance(9_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(0L));
    advance(6_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
  }

  @Test
  void listedHeadThatRefusesConnectionsHasCrashed() {
    String head = formAndReturnHead();
    engines.refusing.add(head);
    engines.orders.clear();
    suspected.add(head);
    advance(3_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
  }

  @Test
  void nextOrderFollowsTheAnswerToThePreviousOne() {
    String head = formAndReturnHead();
    listWithWeights("c", 9);
    engines.refusing.add(head.equals("a") ? "b" : "a");
    engines.orders.clear();
    suspected.add(head);
    advance(STEP_MS);
    long closedNanos = nowNanos;
    advance(STEP_MS);
    assertThat(engines.count(BoxOrder.Verb.CLOSE_NOW), is(1L));
    assertThat(engines.count(BoxOrder.Verb.LEAVE), is(1L));
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
    assertThat(nowNanos - closedNanos, is(TimeUnit.MILLISECONDS.toNanos(STEP_MS)));
  }

  private void startWithMember(String id, ReplicaId replica) {
    engines.memberships.put(id, new Membership(replica, 1, MemberState.READY));
    list("a");
    listWithWeights("b", 1);
    // It has left another replica, so it needs no warm-up.
    Membership former = new Membership(new ReplicaId("former", 1), 1, MemberState.READY);
    fleet.update(fleet.find("b").withEngineState("m", List.of("m"), former));
    fleet.update(fleet.find("b").withEngineState(null, List.of("m"), null));
    fleet.update(fleet.find(id).withEngineState("m", List.of("m"), engines.memberships.get(id)));
    acquireLeases();
    service.start();
  }

  @Test
  void unlistedHeadIsFoundByTheReplicaNameAndKeepsItsMembersBound() {
    FleetBox head = decode("h", new byte[0]);
    ReplicaId replica = ReplicaId.of("d", "m", 3, head);
    engines.memberships.put("h", new Membership(replica, 0, MemberState.OPEN));
    startWithMember("a", replica);
    advance(2_000);
    assertThat(engines.asked, hasItem("h"));
    assertThat(fleet.isEligible("h"), is(false));
    // The head answers, so it is closed by orders before its member joins another replica.
    List<String> given =
        engines.orders.stream()
            .filter(order -> order.verb() != BoxOrder.Verb.STAGE)
            .map(order -> order.boxId() + " " + order.verb())
            .toList();
    assertThat(given.subList(0, 2), is(List.of("h CLOSE_AFTER_WORK", "h LEAVE")));
    assertThat(given, hasItem("a JOIN"));
  }

  @Test
  void membersOfSilentUnlistedHeadStayBoundForTheStallTime() {
    FleetBox head = decode("h", new byte[0]);
    ReplicaId replica = ReplicaId.of("d", "m", 3, head);
    engines.silent.add("h");
    startWithMember("a", replica);
    advance(5_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(0L));
    advance(3_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
  }

  @Test
  void reportOfAHeadIsUrgent() {
    int[] urgent = {0};
    service.setUrgentChangeListener(() -> urgent[0]++);
    list("a");
    list("b");
    acquireLeases();
    service.start();
    advance(3_000);
    assertThat(urgent[0] > 0, is(true));
    assertThat(service.takeReports().isEmpty(), is(false));
    assertThat(service.takeReports(), is(empty()));
  }

  @Test
  void boxThatPeersAskAboutIsAskedWithoutALease() {
    failureDetector.applyHeartbeat(Heartbeats.of("p").withQuestions(Map.of("a", "a:1"), Set.of()));
    service.start();
    advance(400);
    assertThat(engines.asked, hasItem("a"));
    assertThat(service.silentForPeers(), is(empty()));
  }

  private final Evacuations evacuations = new Evacuations(log);

  private void evacuate(String zone, boolean isRequested, long offset) {
    service.setEvacuations(evacuations);
    evacuations.applyRecord(zone, isRequested, StorePosition.of(1, offset));
  }

  private Set<String> joined() {
    Set<String> ids = new HashSet<>();
    engines.orders.stream()
        .filter(order -> order.verb() == BoxOrder.Verb.JOIN)
        .forEach(order -> ids.add(order.boxId()));
    return ids;
  }

  @Test
  void noReplicaIsFormedInAnEvacuatedZone() {
    list("a@x");
    list("b@x");
    list("c@y");
    list("d@y");
    acquireLeases();
    evacuate("x", true, 1);
    service.start();
    advance(3_000);
    assertThat(joined(), is(Set.of("c@y", "d@y")));
    evacuate("x", false, 2);
    advance(3_000);
    assertThat(joined(), is(Set.of("a@x", "b@x", "c@y", "d@y")));
  }

  @Test
  void aReplicaThatFormsIsNotOpenedUntilTheZoneReturns() {
    list("a@x");
    list("b@x");
    engines.joinNanos = TimeUnit.MILLISECONDS.toNanos(1_000);
    acquireLeases();
    service.start();
    advance(700);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
    evacuate("x", true, 1);
    int orders = engines.orders.size();
    advance(3_000);
    assertThat(engines.orders.size(), is(orders));
    evacuate("x", false, 2);
    advance(5_000);
    assertThat(engines.count(BoxOrder.Verb.OPEN) > 0, is(true));
  }

  @Test
  void noBoxOfTheZoneJoinsAReplicaOfADomainThatSpansZones() {
    list("mixed-a@x");
    list("mixed-b@y");
    list("mixed-c@y");
    acquireLeases();
    evacuate("x", true, 1);
    service.start();
    advance(3_000);
    assertThat(joined(), is(Set.of("mixed-b@y", "mixed-c@y")));
  }

  @Test
  void anEvacuatedDomainWithALostBoxGetsNoOrders() {
    list("a@x");
    list("b@x");
    acquireLeases();
    service.start();
    advance(3_000);
    evacuate("x", true, 1);
    int orders = engines.orders.size();
    engines.silent.add("b@x");
    advance(3_000);
    assertThat(engines.orders.size(), is(orders));
  }

  @Test
  void reportOfAPeerThatFollowsTheConfirmationFreesNoMembers() {
    String head = formAndReturnHead();
    Set<String> members = Set.of("a", "b");
    engines.orders.clear();
    for (int i = 0; i < 20; i++) {
      fleet.updateByPeer(fleet.find(head).withEngineState(null, List.of("m"), null));
      advance(STEP_MS);
    }
    assertThat(joined().stream().anyMatch(members::contains), is(false));
  }
}
