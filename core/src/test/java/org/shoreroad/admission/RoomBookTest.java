package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.fleet.EngineSpec;

/** Tests of single decisions; {@link OverloadGoodputTest} plays load. */
class RoomBookTest {
  private static final long MS = 1_000_000L;
  private static final int SLOTS = ModelHead.SLOTS;

  private final FakeReturns returns = new FakeReturns();
  private RoomBook book = new RoomBook(ModelPlay.SPEC, ModelPlay.SHAPE, returns);

  /** The steady clock may start anywhere, also below zero. */
  private long now = Long.MIN_VALUE / 2;

  private long nextNumber;

  @BeforeEach
  void setUpOneKnownHead() {
    knowHeads(head("h0", "z"));
  }

  private static HeadState head(String id, String zone) {
    return new HeadState(id, zone, 0, 0, 1, true, Double.POSITIVE_INFINITY);
  }

  private static HeadState withLoad(HeadState head, int open, long unreadTokens) {
    return new HeadState(
        head.id(), head.zone(), open, unreadTokens, head.slowness(), true, head.startsPerSecond());
  }

  private static HeadState withStarts(HeadState head, double perSecond) {
    return new HeadState(head.id(), head.zone(), 0, 0, 1, true, perSecond);
  }

  /** Sets the heads, and lets the time pass in which the load of others is learnt. */
  private void knowHeads(HeadState... heads) {
    book.setHeads(List.of(heads), now);
    now += 2_000 * MS;
  }

  private static RoomRequest request(
      long number, String account, int priority, long promptTokens, int ageMs, boolean isFinal) {
    return new RoomRequest(
        new RoomRequest.Key("p", number),
        "z",
        account,
        priority,
        promptTokens,
        100,
        ageMs,
        250,
        200,
        6_000,
        number,
        Set.of(),
        isFinal);
  }

  private RoomRequest next() {
    return request(nextNumber++, "a", 0, 100, 0, true);
  }

  private RoomRequest nextOf(String account, int priority) {
    return request(nextNumber++, account, priority, 100, 0, true);
  }

  private List<RoomDecision> offer(RoomRequest request) {
    return book.offer(request, now);
  }

  /** Fills all slots; the prompts are read before the call ends. */
  private List<RoomRequest.Key> fill(String account, int count) {
    List<RoomRequest.Key> keys = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      RoomRequest request = nextOf(account, 0);
      assertThat(offer(request).get(0).isGranted(), is(true));
      keys.add(request.key());
      now += 10 * MS;
    }
    now += 100 * MS;
    return keys;
  }

  private static RoomDecision only(List<RoomDecision> decisions) {
    assertThat(decisions.size(), is(1));
    return decisions.get(0);
  }

  @Test
  void testOffer_grantsAnIdleHead() {
    RoomRequest request = next();
    assertThat(only(offer(request)), is(RoomDecision.granted(request.key(), "h0")));
    assertThat(book.freeCount(now), lessThanOrEqualTo(SLOTS + 1));
  }

  @Test
  void testOffer_again_returnsTheSameDecision() {
    RoomRequest request = next();
    RoomDecision decision = only(offer(request));
    int free = book.freeCount(now);
    assertThat(only(offer(request)), is(decision));
    assertThat(book.freeCount(now), is(free));
  }

  @Test
  void testOffer_again_renewsTheGrant() {
    RoomRequest request = next();
    offer(request);
    int free = book.freeCount(now);
    now += 1_400 * MS;
    offer(request);
    now += 1_400 * MS;
    book.advance(now);
    assertThat(book.freeCount(now), is(free));
  }

  @Test
  void testOffer_refusesWithoutAUsableHead() {
    book.setHeads(List.of(), now);
    assertThat(only(offer(next())).refusal(), is(RoomRefusal.NO_HEAD));
    book.setHeads(List.of(new HeadState("h0", "z", 0, 0, 1, false, 100)), now);
    assertThat(only(offer(next())).refusal(), is(RoomRefusal.NO_HEAD));
  }

  @Test
  void testOffer_skipsExcludedHeads() {
    RoomRequest plain = next();
    RoomRequest request =
        new RoomRequest(
            plain.key(), "z", "a", 0, 100, 100, 0, 250, 200, 6_000, 1, Set.of("h0"), true);
    assertThat(only(offer(request)).refusal(), is(RoomRefusal.NO_HEAD));
    knowHeads(head("h0", "z"), head("h1", "z"));
    assertThat(only(offer(request)).headId(), is("h1"));
  }

  @Test
  void testOffer_prefersTheOwnZoneWhileItIsAboutAsEarly() {
    knowHeads(head("h0", "other"), head("h1", "z"));
    assertThat(only(offer(next())).headId(), is("h1"));
    knowHeads(head("h0", "other"), withLoad(head("h1", "z"), SLOTS - 1, 5_000));
    assertThat(only(offer(next())).headId(), is("h0"));
  }

  @Test
  void testOffer_refusesAtOnceWhatCannotBeInTime() {
    knowHeads(withLoad(head("h0", "z"), SLOTS, 30_000));
    RoomDecision decision = only(offer(next()));
    assertThat(decision.refusal(), is(RoomRefusal.TARGET_OUT_OF_REACH));
    assertThat(decision.retryAfterMs(), is(FakeReturns.RETRY_AFTER_MS));
  }

  @Test
  void testOffer_keepsThePausesOfStreams() {
    fill("a", 5);
    // A pass with 9,000 more tokens pauses the streams for more than 0.9 x 200 ms at this pace.
    book.setHeads(List.of(new HeadState("h0", "z", 0, 0, 2, true, Double.POSITIVE_INFINITY)), now);
    RoomRequest large =
        new RoomRequest(
            next().key(), "z", "a", 0, 9_000, 100, 0, 5_000, 0, 6_000, 1, Set.of(), false);
    assertThat(only(offer(large)).refusal(), is(RoomRefusal.GAP_OUT_OF_REACH));
  }

  @Test
  void testOffer_keepsTheCache() {
    EngineSpec spec =
        new EngineSpec(24, 1_000, 6, 0.3, 0, 46_000, 2_048, 5, 8, 8, 200, List.of(ModelPlay.SHAPE));
    book = new RoomBook(spec, ModelPlay.SHAPE, returns);
    knowHeads(head("h0", "z"));
    assertThat(
        only(offer(request(nextNumber++, "a", 0, 1_001, 0, true))).refusal(),
        is(RoomRefusal.CACHE_FULL));
    assertThat(only(offer(request(nextNumber++, "a", 0, 700, 0, false))).isGranted(), is(true));
    assertThat(
        only(offer(request(nextNumber++, "a", 0, 150, 0, false))).refusal(),
        is(RoomRefusal.CACHE_FULL));
  }

  @Test
  void testOffer_boundsTheStartsOfAColdHead() {
    knowHeads(withStarts(head("h0", "z"), 3));
    int granted = 0;
    for (int i = 0; i < 10; i++) {
      granted += offer(request(nextNumber++, "a", 0, 100, 0, false)).get(0).isGranted() ? 1 : 0;
      now += 50 * MS;
    }
    assertThat(granted, is(3));
  }

  @Test
  void testOffer_boundsTheStartsOfAColdHeadThatWasGoneForAWhile() {
    knowHeads(withStarts(head("h0", "z"), 3));
    for (int i = 0; i < 3; i++) {
      assertThat(only(offer(request(nextNumber++, "a", 0, 100, 0, false))).isGranted(), is(true));
    }
    now += 300 * MS;
    book.setHeads(List.of(), now);
    now += 300 * MS;
    book.setHeads(List.of(withStarts(head("h0", "z"), 3)), now);
    assertThat(only(offer(request(nextNumber++, "a", 0, 100, 0, false))).isGranted(), is(false));
    now += 400 * MS;
    assertThat(only(offer(request(nextNumber++, "a", 0, 100, 0, false))).isGranted(), is(true));
  }

  @Test
  void testOffer_invitesBehindThoseOfItsPriorityAndMoreUrgentOnes() {
    fill("a", SLOTS + 1);
    RoomRequest plain = nextOf("b", 1);
    RoomRequest patient =
        new RoomRequest(
            plain.key(), "z", "b", 1, 100, 100, 0, 60_000, 200, 60_000, 1, Set.of(), true);
    assertThat(offer(patient), is(empty()));
    offer(request(nextNumber++, "a", 0, 100, 3_000, true));
    assertThat(returns.lastWaitingAhead, is(0));
    offer(request(nextNumber++, "a", 1, 100, 3_000, true));
    assertThat(returns.lastWaitingAhead, is(1));
  }

  @Test
  void testEnd_grantsARequestThatWaits() {
    List<RoomRequest.Key> running = fill("a", SLOTS + 1);
    RoomRequest waiting = next();
    assertThat(offer(waiting), is(empty()));
    assertThat(book.waitingCount(), is(1));
    now += 5 * MS;
    RoomDecision decision = only(book.end(running.get(0), GrantEnd.USED, now));
    assertThat(decision, is(RoomDecision.granted(waiting.key(), "h0")));
    assertThat(returns.freed, is(1));
  }

  @Test
  void testEnd_withdrawsARequestThatWaits() {
    List<RoomRequest.Key> running = fill("a", SLOTS + 1);
    RoomRequest waiting = next();
    offer(waiting);
    assertThat(book.end(waiting.key(), GrantEnd.UNUSED, now), is(empty()));
    assertThat(book.waitingCount(), is(0));
    book.end(running.get(0), GrantEnd.USED, now);
    assertThat(book.end(running.get(1), GrantEnd.USED, now), is(empty()));
  }

  @Test
  void testAdvance_refusesARequestThatWaitsInVain() {
    fill("a", SLOTS + 1);
    RoomRequest waiting = next();
    offer(waiting);
    now += 200 * MS;
    RoomDecision decision = only(book.advance(now));
    assertThat(decision.key(), is(waiting.key()));
    assertThat(decision.isGranted(), is(false));
    assertThat(book.waitingCount(), is(0));
  }

  @Test
  void testAdvance_refusesWhileTheCallerHasTimeForAnotherAttempt() {
    fill("a", SLOTS + 1);
    RoomRequest patient =
        new RoomRequest(
            next().key(), "z", "a", 0, 100, 100, 0, 1_000, 200, 6_000, 1, Set.of(), true);
    assertThat(offer(patient), is(empty()));
    now += 150 * MS;
    assertThat(book.advance(now), is(empty()));
    now += 100 * MS;
    assertThat(only(book.advance(now)).isGranted(), is(false));
  }

  @Test
  void testOffer_boundsTheNumberThatWaits() {
    fill("a", SLOTS + 1);
    Set<RoomRequest.Key> undecided = new HashSet<>();
    int refused = 0;
    for (int i = 0; i < 1_200; i++) {
      RoomRequest plain = nextOf("a" + i % 3, 0);
      RoomRequest patient =
          new RoomRequest(
              plain.key(),
              "z",
              plain.account(),
              0,
              100,
              100,
              0,
              600_000,
              0,
              600_000,
              i,
              Set.of(),
              true);
      undecided.add(patient.key());
      for (RoomDecision decision : offer(patient)) {
        assertThat(undecided.remove(decision.key()), is(true));
        refused += decision.isGranted() ? 0 : 1;
      }
      if (undecided.contains(patient.key())) {
        assertThat(offer(patient), is(empty()));
      }
    }
    assertThat(book.waitingCount(), is(1_000));
    assertThat(undecided.size(), is(1_000));
    assertThat(refused, greaterThan(100));
  }

  @Test
  void testOffer_whatIsNotFinalDisplacesNothingThatWaits() {
    fill("a", SLOTS + 1);
    for (int i = 0; i < 1_000; i++) {
      RoomRequest plain = nextOf("a", 0);
      RoomRequest patient =
          new RoomRequest(
              plain.key(), "z", "a", 0, 100, 100, 0, 600_000, 0, 600_000, i, Set.of(), true);
      assertThat(offer(patient), is(empty()));
    }
    RoomRequest other = request(nextNumber++, "b", 0, 100, 0, false);
    assertThat(only(offer(other)).key(), is(other.key()));
    assertThat(book.waitingCount(), is(1_000));
  }

  @Test
  void testOffer_refusesAtOnceWhatIsNotFinal() {
    fill("a", SLOTS + 1);
    RoomDecision decision = only(offer(request(nextNumber++, "a", 0, 100, 0, false)));
    assertThat(decision.isGranted(), is(false));
    assertThat(decision.retryAfterMs(), is(0));
    assertThat(returns.invited, is(empty()));
  }

  @Test
  void testEnd_rejected_takesTheHeadForFullForAPass() {
    RoomRequest request = next();
    offer(request);
    book.end(request.key(), GrantEnd.REJECTED, now);
    assertThat(book.freeCount(now), is(0));
    assertThat(only(offer(request(nextNumber++, "a", 0, 100, 0, false))).isGranted(), is(false));
    now += 200 * MS;
    int free = book.freeCount(now);
    assertThat(free, greaterThan(0));
    assertThat(free, lessThan(SLOTS));
    now += 2_000 * MS;
    assertThat(book.freeCount(now), is(SLOTS + 1));
  }

  @Test
  void testEnd_countsAsFreedOnlyWhatWasUsed() {
    for (GrantEnd end : GrantEnd.values()) {
      RoomRequest request = next();
      assertThat(only(offer(request)).isGranted(), is(true));
      returns.freed = 0;
      book.end(request.key(), end, now);
      boolean isServed = end == GrantEnd.USED || end == GrantEnd.FAILED;
      assertThat(end.name(), returns.freed, is(isServed ? 1 : 0));
      now += 3_000 * MS;
    }
  }

  @Test
  void testRenew_keepsGrantsThatOtherwiseExpire() {
    RoomRequest kept = next();
    offer(kept);
    offer(next());
    int free = book.freeCount(now);
    now += 1_000 * MS;
    Set<Long> held = book.renew("p", Set.of(kept.key().number(), 77L), now);
    assertThat(held, is(Set.of(kept.key().number())));
    assertThat(book.renew("stranger", Set.of(1L), now), is(Set.of()));
    now += 600 * MS;
    book.advance(now);
    assertThat(book.freeCount(now), is(free + 1));
    now += 1_000 * MS;
    book.advance(now);
    assertThat(book.freeCount(now), is(free + 2));
  }

  @Test
  void testSetHeads_dropsTheGrantsOfHeadsThatAreGone() {
    fill("a", 3);
    knowHeads(head("h1", "z"));
    knowHeads(head("h0", "z"));
    assertThat(book.freeCount(now), is(SLOTS + 1));
  }

  @Test
  void testOrder_urgentThenInvitedThenTheAccountWithTheLeastInUse() {
    knowHeads(head("h0", "z"), head("h1", "z"), head("h2", "z"), head("h3", "z"));
    List<RoomRequest.Key> running = fill("a", 4 * (SLOTS + 1));
    RoomRequest lessUrgent = nextOf("b", 1);
    RoomRequest large = nextOf("a", 0);
    RoomRequest small = nextOf("b", 0);
    RoomRequest returned = nextOf("c", 0);
    returns.invited.add(returned.contentHash());
    for (RoomRequest request : List.of(lessUrgent, large, small, returned)) {
      assertThat(offer(request), is(empty()));
    }
    List<RoomRequest.Key> granted = new ArrayList<>();
    for (RoomRequest.Key key : running.subList(0, 40)) {
      for (RoomDecision decision : book.end(key, GrantEnd.USED, now)) {
        assertThat(decision.isGranted(), is(true));
        granted.add(decision.key());
      }
    }
    assertThat(granted, is(List.of(returned.key(), small.key(), large.key(), lessUrgent.key())));
    assertThat(returns.invited, is(empty()));
  }

  @Test
  void testOffer_lateRequestGetsRoomThatIsIdle() {
    RoomRequest late = request(nextNumber++, "a", 0, 100, 3_000, true);
    assertThat(only(offer(late)).isGranted(), is(true));
    assertThat(
        only(offer(request(nextNumber++, "a", 0, 100, 3_000, false))).refusal(),
        is(RoomRefusal.TARGET_OUT_OF_REACH));
  }

  @Test
  void testOffer_lateRequestGetsNoRoomThatOthersNeed() {
    fill("a", SLOTS);
    RoomDecision decision = only(offer(request(nextNumber++, "a", 0, 100, 3_000, true)));
    assertThat(decision.refusal(), is(RoomRefusal.TARGET_OUT_OF_REACH));
  }

  @Test
  void testOffer_lateRequestsKeepNoRoomFromEachOther() {
    knowHeads(withLoad(head("h0", "z"), 8, 0));
    for (int i = 0; i < 1_000; i++) {
      RoomRequest late = request(nextNumber++, "a", 0, 100, 3_000, true);
      assertThat(only(offer(late)).isGranted(), is(true));
      book.end(late.key(), GrantEnd.UNUSED, now);
      now += MS;
    }
  }

  @Test
  void testOffer_keepsRoomForMoreUrgentArrivalsAfterARejection() {
    knowHeads(head("h0", "z"), head("h1", "z"));
    for (int i = 0; i < 400; i++) {
      RoomRequest urgent = nextOf("a", 0);
      offer(urgent);
      book.end(urgent.key(), GrantEnd.UNUSED, now);
      now += 5 * MS;
    }
    offer(nextOf("b", 1));
    book.setHeads(List.of(withLoad(head("h0", "z"), SLOTS - 4, 0), head("h1", "z")), now);
    RoomRequest rejected =
        new RoomRequest(
            next().key(), "z", "a", 0, 100, 100, 0, 250, 200, 6_000, 1, Set.of("h0"), true);
    assertThat(only(offer(rejected)).headId(), is("h1"));
    book.end(rejected.key(), GrantEnd.REJECTED, now);
    List<RoomDecision> decisions = new ArrayList<>();
    // One of ten grants may take the room that is kept.
    for (int i = 0; i < 2; i++) {
      decisions.addAll(offer(request(nextNumber++, "b", 1, 100, 0, false)));
    }
    assertThat(decisions.get(1).refusal(), is(RoomRefusal.KEPT_FOR_MORE_URGENT));
  }

  @Test
  void testOffer_keepsRoomForMoreUrgentArrivals() {
    // 200 urgent requests a second, each soon ended.
    for (int i = 0; i < 400; i++) {
      RoomRequest urgent = nextOf("a", 0);
      offer(urgent);
      book.end(urgent.key(), GrantEnd.UNUSED, now);
      now += 5 * MS;
    }
    knowHeads(withLoad(head("h0", "z"), SLOTS - 2, 0));
    now -= 2_000 * MS;
    // One of ten grants may take the room that is kept.
    offer(nextOf("b", 1));
    RoomDecision decision = only(offer(request(nextNumber++, "b", 1, 100, 0, false)));
    assertThat(decision.refusal(), is(RoomRefusal.KEPT_FOR_MORE_URGENT));
    assertThat(only(offer(nextOf("a", 0))).isGranted(), is(true));
  }

  @Test
  void testOffer_refusesTheAccountThatIsOverItsShare() {
    fill("large", SLOTS);
    offer(nextOf("small", 0));
    List<RoomDecision> refused = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      refused.addAll(offer(nextOf("large", 0)));
    }
    Set<RoomRefusal> reasons =
        refused.stream().map(RoomDecision::refusal).collect(Collectors.toSet());
    assertThat(reasons, is(Set.of(RoomRefusal.ACCOUNT_OVER_SHARE)));
  }

  @Test
  void testNewHead_startsAFewUntilTheLoadOfOthersIsKnown() {
    book.setHeads(List.of(head("h0", "z"), head("new", "z")), now);
    assertThat(book.freeCount(now), lessThan(SLOTS + 5));
    now += 1_000 * MS;
    assertThat(book.freeCount(now), is(2 * (SLOTS + 1)));
  }

  @Test
  void testBadNumbers_areCorrectedAndAffectNothingElse() {
    offer(
        new RoomRequest(
            new RoomRequest.Key("p", -1),
            "z",
            "a",
            -5,
            Long.MAX_VALUE,
            -1,
            -1,
            -1,
            -1,
            -1,
            1,
            Set.of(),
            true));
    offer(
        new RoomRequest(
            new RoomRequest.Key("p", -2),
            "z",
            "a",
            99,
            -1,
            Integer.MAX_VALUE,
            0,
            250,
            0,
            1,
            1,
            Set.of(),
            true));
    book.setHeads(List.of(new HeadState("h0", "z", -7, -7, Double.NaN, true, 1e9)), now);
    book.end(new RoomRequest.Key("nobody", 4), GrantEnd.REJECTED, now);
    assertThat(book.correctedCount(), is(3L));
    assertThat(only(offer(next())).isGranted(), is(true));
    assertThat(book.freeCount(now), is(SLOTS));
  }
}
