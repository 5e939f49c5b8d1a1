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

/** Asking engines and giving them orders, with a clock that the test turns. */
class ReplicaServiceTest {
  private static final long FENCE = 7;
  private static final int STEP_MS = 50;
  private static final int TASKS_AT_ONCE = 8;
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
          new Alone(),
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

  private static FleetBox decode(String id, byte[] entry) {
    List<String> staged = entry.length > 1 ? List.of("m") : List.of();
    return new FleetBox(id, "llm", id + ":1", "z", 4, false, "d", null, staged, null);
  }

  /** A store that gives the only partition to whoever asks. */
  private static final class GrantingStore implements LeaseStore {
    @Override
    public void join(
        String group, String member, int ttlMs, long gen, StoreCallback<PartitionGrant> callback) {
      callback.onValue(new PartitionGrant(StoreEra.NONE, FENCE, Set.of(0)));
    }

    @Override
    public void leave(String group, String member, long generation) {
      // Nobody else is there.
    }

    @Override
    public void owner(String group, StoreCallback<String> callback) {
      callback.onValue("");
    }
  }

  /** No other process is known. */
  private static final class Alone implements DomainLeases.Peers {
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

  /** Engines that answer at once and take every order; a join is ready at once, too. */
  private static final class FakeEngines implements Engines {
    private final Map<String, Membership> memberships = new HashMap<>();
    private final List<String> asked = new ArrayList<>();
    private final List<BoxOrder> orders = new ArrayList<>();
    private final List<Long> fences = new ArrayList<>();
    private final Set<String> refusing = new HashSet<>();
    private final Set<String> mute = new HashSet<>();
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
      if (mute.contains(box.id())) {
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

  private void run(int millis) {
    for (int passed = 0; passed < millis; passed += STEP_MS) {
      long nanos = TimeUnit.MILLISECONDS.toNanos(STEP_MS);
      nowNanos += nanos;
      channel.advanceTimeBy(nanos, TimeUnit.NANOSECONDS);
      // What a task schedules for at once is due only at the next call.
      for (int i = 0; i < TASKS_AT_ONCE; i++) {
        channel.runScheduledPendingTasks();
      }
    }
  }

  /** Lets the process claim its domains; the grants still have to settle. */
  private void takeLeases() {
    leases.start();
    run(1_700);
  }

  @Test
  void withoutALeaseNothingIsAskedOrOrdered() {
    list("a");
    list("b");
    service.start();
    run(3_000);
    assertThat(engines.asked, is(empty()));
    assertThat(engines.orders, is(empty()));
  }

  @Test
  void theHolderOfADomainFormsItsReplicaWithTheFenceOfTheLease() {
    list("a");
    list("b");
    takeLeases();
    service.start();
    run(3_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
    assertThat(engines.fences, everyItem(is(FENCE)));
    assertThat(engines.asked, hasItem("b"));
  }

  @Test
  void boxesThatJoinAreAskedSeldomUntilTheyShouldBeReady() {
    list("a");
    list("b");
    engines.joinNanos = TimeUnit.MILLISECONDS.toNanos(1_000);
    takeLeases();
    service.start();
    run(700);
    long joinedNanos = nowNanos;
    engines.asked.clear();
    while (engines.count(BoxOrder.Verb.JOIN) < 2) {
      run(STEP_MS);
      joinedNanos = nowNanos;
      engines.asked.clear();
    }
    while (nowNanos - joinedNanos < TimeUnit.MILLISECONDS.toNanos(850)) {
      run(STEP_MS);
    }
    // Every 60 ms it would be 14 for each of the two; the loading of the weights takes a second.
    assertThat(engines.asked.size(), lessThanOrEqualTo(4));
    run(1_500);
    assertThat(engines.count(BoxOrder.Verb.OPEN), is(1L));
  }

  @Test
  void anOpeningThatWasTakenIsNotOrderedAgainAtOnce() {
    list("a");
    list("b");
    takeLeases();
    service.start();
    run(3_500);
    assertThat(engines.count(BoxOrder.Verb.OPEN), is(1L));
  }

  private String formAndReturnHead() {
    list("a");
    list("b");
    takeLeases();
    service.start();
    run(3_500);
    listWithWeights("c", 50);
    return engines.orders.stream()
        .filter(order -> order.verb() == BoxOrder.Verb.OPEN)
        .findFirst()
        .orElseThrow()
        .boxId();
  }

  private void takeOffTheList(String id) {
    fleet.onRecord(new StoreRecord(StorePosition.of(1, 100), id, null));
    fleet.reconcile(TimeUnit.MINUTES.toNanos(1));
  }

  @Test
  void aHeadWhoseEntryIsGoneIsClosedWhileItStillAnswers() {
    String head = formAndReturnHead();
    takeOffTheList(head);
    run(2_000);
    assertThat(engines.count(BoxOrder.Verb.CLOSE_AFTER_WORK), is(1L));
  }

  @Test
  void membersOfALeavingHeadThatListensNoMoreStayBoundUntilItMustHaveEnded() {
    String head = formAndReturnHead();
    engines.refusing.add(head);
    takeOffTheList(head);
    engines.orders.clear();
    run(9_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(0L));
    run(6_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
  }

  @Test
  void aHeadThatIsToStayAndListensNoMoreHasCrashed() {
    String head = formAndReturnHead();
    engines.refusing.add(head);
    engines.orders.clear();
    suspected.add(head);
    run(3_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
  }

  @Test
  void anOrderFollowsTheAnswerToTheOneBefore() {
    String head = formAndReturnHead();
    listWithWeights("c", 9);
    engines.refusing.add(head.equals("a") ? "b" : "a");
    engines.orders.clear();
    suspected.add(head);
    run(STEP_MS);
    long closedNanos = nowNanos;
    run(STEP_MS);
    assertThat(engines.count(BoxOrder.Verb.CLOSE_NOW), is(1L));
    assertThat(engines.count(BoxOrder.Verb.LEAVE), is(1L));
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
    assertThat(nowNanos - closedNanos, is(TimeUnit.MILLISECONDS.toNanos(STEP_MS)));
  }

  private void startWithMember(String id, ReplicaId replica) {
    engines.memberships.put(id, new Membership(replica, 1, MemberState.READY));
    list("a");
    listWithWeights("b", 1);
    // It has left another replica, so it needs no warming.
    Membership former = new Membership(new ReplicaId("former", 1), 1, MemberState.READY);
    fleet.update(fleet.find("b").withEngineState("m", List.of("m"), former));
    fleet.update(fleet.find("b").withEngineState(null, List.of("m"), null));
    fleet.update(fleet.find(id).withEngineState("m", List.of("m"), engines.memberships.get(id)));
    takeLeases();
    service.start();
  }

  @Test
  void anUnlistedHeadIsFoundByTheNameOfItsReplicaAndKeepsItsMembersBound() {
    FleetBox head = decode("h", new byte[0]);
    ReplicaId replica = ReplicaId.of("d", "m", 3, head);
    engines.memberships.put("h", new Membership(replica, 0, MemberState.OPEN));
    startWithMember("a", replica);
    run(2_000);
    assertThat(engines.asked, hasItem("h"));
    assertThat(fleet.isEligible("h"), is(false));
    // It answers, so its work is ended by order before its member serves elsewhere.
    List<String> given =
        engines.orders.stream()
            .filter(order -> order.verb() != BoxOrder.Verb.STAGE)
            .map(order -> order.boxId() + " " + order.verb())
            .toList();
    assertThat(given.subList(0, 2), is(List.of("h CLOSE_AFTER_WORK", "h LEAVE")));
    assertThat(given, hasItem("a JOIN"));
  }

  @Test
  void membersOfAnUnlistedHeadThatIsSilentStayBoundForTheStallTime() {
    FleetBox head = decode("h", new byte[0]);
    ReplicaId replica = ReplicaId.of("d", "m", 3, head);
    engines.mute.add("h");
    startWithMember("a", replica);
    run(5_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(0L));
    run(3_000);
    assertThat(engines.count(BoxOrder.Verb.JOIN), is(2L));
  }

  @Test
  void theReportOfAHeadIsUrgent() {
    int[] urgent = {0};
    service.setUrgentChangeListener(() -> urgent[0]++);
    list("a");
    list("b");
    takeLeases();
    service.start();
    run(3_000);
    assertThat(urgent[0] > 0, is(true));
    assertThat(service.takeReports().isEmpty(), is(false));
    assertThat(service.takeReports(), is(empty()));
  }

  @Test
  void aBoxThatPeersAskAboutIsAskedWithoutALease() {
    failureDetector.learn(Heartbeats.of("p").withQuestions(Map.of("a", "a:1"), Set.of()));
    service.start();
    run(400);
    assertThat(engines.asked, hasItem("a"));
    assertThat(service.silentForPeers(), is(empty()));
  }
}
