package org.shoreroad.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.BoxOrder.Verb;
import org.shoreroad.fleet.ObservedBox.Reach;

/** Guards against a box that joins a replica while the head of its former one may be open. */
class FormerHeadTest {
  private static final long STEP_NANOS = 600_000_000L;
  private static final String HEAD = "head";
  private static final String MEMBER = "member";
  private static final String SPARE = "spare";
  private static final EngineSpec SPEC =
      FakeDomain.spec(new ModelShape("small", 2, 1, 0.6, 12, 1.1));
  private static final ReplicaId FORMER = ReplicaId.of("d", "small", 7, box(HEAD, null, false));

  private final Set<ReplicaId> headsSeen = new HashSet<>(Set.of(FORMER));
  private final DomainReconciler reconciler = newReconciler();
  private long epoch = 7;
  private long nowNanos = STEP_NANOS;

  private DomainReconciler newReconciler() {
    return new DomainReconciler("d", ReconcilerTiming.DEFAULT, () -> ++epoch);
  }

  private static FleetBox box(String id, @Nullable Membership membership, boolean isLeaving) {
    String model = membership == null ? null : "small";
    List<String> staged = List.of("small");
    return new FleetBox(id, "llm", id + ":1", "z", 18, isLeaving, "d", model, staged, membership);
  }

  private static ObservedBox observed(FleetBox box, Reach reach, boolean isConfirmed) {
    return new ObservedBox(box, true, reach, true, isConfirmed, false, "small");
  }

  private static ObservedBox sound(String id, @Nullable Membership membership) {
    return observed(box(id, membership, false), Reach.LIKELY, true);
  }

  private static Membership member(ReplicaId replica, int rank, MemberState state) {
    return new Membership(replica, rank, state);
  }

  private static ObservedBox readyMember() {
    return sound(MEMBER, member(FORMER, 1, MemberState.READY));
  }

  private List<BoxOrder> decide(ObservedBox... boxes) {
    nowNanos += STEP_NANOS;
    return reconciler.decide(
        nowNanos,
        SPEC,
        List.of(boxes),
        ReplicaPlan.of(SPEC, Map.of("d", boxes.length)),
        headsSeen,
        Demand.NONE);
  }

  private static List<String> verbsFor(String id, List<BoxOrder> orders) {
    List<String> verbs = new ArrayList<>();
    orders.stream()
        .filter(order -> order.boxId().equals(id))
        .forEach(order -> verbs.add(order.verb().name()));
    return verbs;
  }

  private static BoxOrder orderTo(String id, Verb verb, List<BoxOrder> orders) {
    return orders.stream()
        .filter(order -> order.boxId().equals(id) && order.verb() == verb)
        .findFirst()
        .orElseThrow();
  }

  @Test
  void memberWaitsForAReportOfALeavingHeadThatTheListShowsWithoutAReplica() {
    ObservedBox head = observed(box(HEAD, null, true), Reach.LIKELY, false);
    List<BoxOrder> orders = decide(head, readyMember(), sound(SPARE, null));
    assertThat(verbsFor(MEMBER, orders), is(empty()));
    assertThat(reconciler.needsReports(), is(true));
  }

  @Test
  void memberOfASilentHeadThatTheListShowsWithoutAReplicaLeavesFirst() {
    ObservedBox head = observed(box(HEAD, null, false), Reach.LOST, false);
    List<BoxOrder> orders = decide(head, readyMember(), sound(SPARE, null));
    assertThat(verbsFor(MEMBER, orders), is(List.of("LEAVE")));
    assertThat(
        verbsFor(MEMBER, decide(head, sound(MEMBER, null), sound(SPARE, null))),
        is(List.of("JOIN")));
  }

  @Test
  void memberJoinsAtOnceWhenTheHeadHasAcceptedToLeave() {
    BoxOrder join = orderTo(HEAD, Verb.JOIN, decide(sound(HEAD, null), sound(MEMBER, null)));
    reconciler.recordAccepted(join, nowNanos);
    ReplicaId replica = join.replica();
    ObservedBox ready = sound(MEMBER, member(replica, 1, MemberState.READY));
    decide(sound(HEAD, member(replica, 0, MemberState.OPEN)), ready);
    ObservedBox closed = sound(HEAD, member(replica, 0, MemberState.READY));
    ObservedBox leaving =
        observed(box(MEMBER, member(replica, 1, MemberState.READY), true), Reach.LIKELY, true);
    reconciler.recordAccepted(orderTo(HEAD, Verb.LEAVE, decide(closed, leaving)), nowNanos);
    List<BoxOrder> orders = decide(sound(HEAD, null), ready, sound(SPARE, null));
    assertThat(verbsFor(HEAD, orders), is(List.of("JOIN")));
    assertThat(verbsFor(MEMBER, orders), is(List.of("JOIN")));
  }

  /** Forms a replica; the head's first order to join stays unanswered, the second is accepted. */
  private ReplicaId formWithUnansweredJoin() {
    BoxOrder first = orderTo(HEAD, Verb.JOIN, decide(sound(HEAD, null), sound(MEMBER, null)));
    BoxOrder second = orderTo(HEAD, Verb.JOIN, decide(sound(HEAD, null), sound(MEMBER, null)));
    reconciler.recordAccepted(second, nowNanos);
    return first.replica();
  }

  @Test
  void memberLeavesFirstWhileAnUnansweredJoinMayBringTheHeadBack() {
    ReplicaId replica = formWithUnansweredJoin();
    ObservedBox open = sound(HEAD, member(replica, 0, MemberState.OPEN));
    ObservedBox ready = sound(MEMBER, member(replica, 1, MemberState.READY));
    decide(open, ready);
    ObservedBox closed = sound(HEAD, member(replica, 0, MemberState.READY));
    ObservedBox leaving =
        observed(box(MEMBER, member(replica, 1, MemberState.READY), true), Reach.LIKELY, true);
    reconciler.recordAccepted(orderTo(HEAD, Verb.LEAVE, decide(closed, leaving)), nowNanos);
    List<BoxOrder> orders = decide(sound(HEAD, null), ready, sound(SPARE, null));
    assertThat(verbsFor(MEMBER, orders), is(List.of("LEAVE")));
  }

  @Test
  void joinIsNotRepeatedToABoxThatIsSeenInAServingReplica() {
    List<BoxOrder> orders = decide(sound(MEMBER, null), sound(SPARE, null));
    assertThat(verbsFor(MEMBER, orders), is(List.of("JOIN")));
    ObservedBox open = sound(HEAD, member(FORMER, 0, MemberState.OPEN));
    assertThat(
        verbsFor(MEMBER, decide(open, readyMember(), sound(SPARE, null))), not(hasItem("JOIN")));
  }

  @Test
  void warmupWaitsForAReportOfTheBox() {
    FleetBox blank = box(SPARE, null, false);
    ObservedBox listed = new ObservedBox(blank, true, Reach.LIKELY, true, false, false, null);
    assertThat(verbsFor(SPARE, decide(listed)), is(empty()));
    assertThat(reconciler.needsReports(), is(true));
    ObservedBox reported = new ObservedBox(blank, true, Reach.LIKELY, true, true, false, null);
    assertThat(verbsFor(SPARE, decide(reported)), is(List.of("JOIN")));
  }

  /** An order to join may be carried out after the order to leave, and be answered last. */
  @Test
  void memberLeavesFirstIfAJoinIsAnsweredAfterTheHeadHasLeft() {
    BoxOrder first = orderTo(HEAD, Verb.JOIN, decide(sound(HEAD, null), sound(MEMBER, null)));
    BoxOrder second = orderTo(HEAD, Verb.JOIN, decide(sound(HEAD, null), sound(MEMBER, null)));
    ReplicaId replica = first.replica();
    reconciler.recordAccepted(first, nowNanos);
    ObservedBox ready = sound(MEMBER, member(replica, 1, MemberState.READY));
    ObservedBox leaving =
        observed(box(MEMBER, member(replica, 1, MemberState.READY), true), Reach.LIKELY, true);
    decide(sound(HEAD, member(replica, 0, MemberState.OPEN)), ready);
    ObservedBox closed = sound(HEAD, member(replica, 0, MemberState.READY));
    reconciler.recordAccepted(orderTo(HEAD, Verb.LEAVE, decide(closed, leaving)), nowNanos);
    reconciler.recordAccepted(second, nowNanos);
    List<BoxOrder> orders = decide(sound(HEAD, null), ready, sound(SPARE, null));
    assertThat(verbsFor(MEMBER, orders), is(List.of("LEAVE")));
  }

  /** The lease lapsed for a moment, or every zone of the domain was evacuated and returned. */
  @Test
  void memberLeavesFirstWhileAJoinOfAnEarlierReconcilerMayBringTheHeadBack() {
    ReplicaId replica = formWithUnansweredJoin();
    DomainReconciler next = newReconciler();
    ObservedBox closed = sound(HEAD, member(replica, 0, MemberState.READY));
    ObservedBox leaving =
        observed(box(MEMBER, member(replica, 1, MemberState.READY), true), Reach.LIKELY, true);
    ObservedBox ready = sound(MEMBER, member(replica, 1, MemberState.READY));
    List<BoxOrder> orders = decideBy(next, closed, leaving);
    next.recordAccepted(orderTo(HEAD, Verb.LEAVE, orders), nowNanos);
    orders = decideBy(next, sound(HEAD, null), ready, sound(SPARE, null));
    assertThat(verbsFor(MEMBER, orders), is(List.of("LEAVE")));
  }

  private List<BoxOrder> decideBy(DomainReconciler other, ObservedBox... boxes) {
    nowNanos += STEP_NANOS;
    return other.decide(
        nowNanos,
        SPEC,
        List.of(boxes),
        ReplicaPlan.of(SPEC, Map.of("d", boxes.length)),
        headsSeen,
        Demand.NONE);
  }

  /** The member's first JOIN may be carried out after its LEAVE, while the head is open. */
  @Test
  void memberJoinsNoOtherReplicaWhileAnUnansweredJoinMayBringItBack() {
    BoxOrder first = orderTo(MEMBER, Verb.JOIN, decide(sound(HEAD, null), sound(MEMBER, null)));
    ReplicaId replica = first.replica();
    headsSeen.add(replica);
    BoxOrder second = orderTo(MEMBER, Verb.JOIN, decide(sound(HEAD, null), sound(MEMBER, null)));
    reconciler.recordAccepted(second, nowNanos);
    ObservedBox ready = sound(MEMBER, member(replica, 1, MemberState.READY));
    decide(sound(HEAD, member(replica, 0, MemberState.OPEN)), ready);
    // The head is off the list and answers no process, but still reaches its member.
    ObservedBox gone =
        new ObservedBox(
            box(HEAD, member(replica, 0, MemberState.OPEN), true),
            false,
            Reach.GONE,
            true,
            false,
            false,
            "small");
    List<BoxOrder> orders = decide(gone, ready, sound(SPARE, null));
    reconciler.recordAccepted(orderTo(MEMBER, Verb.LEAVE, orders), nowNanos);
    orders = decide(gone, sound(MEMBER, null), sound(SPARE, null));
    assertThat(verbsFor(MEMBER, orders), is(empty()));
  }

  /** The list may be seconds old: the replica that it shows as forming may be open by now. */
  @Test
  void headThatOnlyTheListShowsAsJoiningIsNotOrderedToLeave() {
    ObservedBox head =
        observed(box(HEAD, member(FORMER, 0, MemberState.JOINING), false), Reach.LIKELY, false);
    ObservedBox joining =
        observed(box(MEMBER, member(FORMER, 1, MemberState.JOINING), false), Reach.LIKELY, false);
    assertThat(verbsFor(HEAD, decide(head, joining)), not(hasItem("LEAVE")));
  }

  /** The list may be seconds old: a member that it shows as ready may have left by now. */
  @Test
  void headIsNotOpenedBeforeItsMembersAreConfirmed() {
    ObservedBox head =
        observed(box(HEAD, member(FORMER, 0, MemberState.READY), false), Reach.LIKELY, false);
    ObservedBox ready =
        observed(box(MEMBER, member(FORMER, 1, MemberState.READY), false), Reach.LIKELY, false);
    assertThat(verbsFor(HEAD, decide(head, ready)), is(empty()));
  }

  @Test
  void memberLeavesIfAReachableHeadNeverConfirmsItsState() {
    ObservedBox head = observed(box(HEAD, null, true), Reach.LIKELY, false);
    assertThat(verbsFor(MEMBER, decide(head, readyMember())), is(empty()));
    nowNanos += ReconcilerTiming.DEFAULT.headlessNanos();
    assertThat(verbsFor(MEMBER, decide(head, readyMember())), is(List.of("LEAVE")));
  }

  /** A member that drains stays until its end; the other boxes still load weights in advance. */
  @Test
  void memberThatDrainsWithoutItsHeadDoesNotKeepAskingForReports() {
    int asked = 0;
    ObservedBox draining =
        observed(box(MEMBER, member(FORMER, 1, MemberState.READY), true), Reach.LIKELY, true);
    for (int i = 0; i < 10; i++) {
      decide(observed(box(HEAD, null, false), Reach.LIKELY, false), draining);
      asked += reconciler.needsReports() ? 1 : 0;
    }
    assertThat(asked, is(0));
  }

  /** A late JOIN of its former replica has brought the head back; a later one is still awaited. */
  @Test
  void headThatAnUnansweredLaterJoinMayTakeAwayIsNotOpened() {
    ObservedBox head = sound(HEAD, member(FORMER, 0, MemberState.READY));
    BoxOrder later = orderTo(HEAD, Verb.JOIN, decide(sound(HEAD, null), sound(SPARE, null)));
    assertThat(later.replica().epoch() > FORMER.epoch(), is(true));
    List<BoxOrder> orders = decide(head, readyMember(), sound(SPARE, null));
    assertThat(verbsFor(HEAD, orders), is(List.of("LEAVE")));
  }
}
