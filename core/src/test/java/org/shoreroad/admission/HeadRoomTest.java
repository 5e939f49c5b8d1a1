package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.nullValue;

import java.util.Set;
import org.junit.jupiter.api.Test;

class HeadRoomTest {
  private static final long MS = 1_000_000L;
  private static final int FULL = ModelHead.SLOTS + 1;

  private final EngineForecast forecast = EngineForecast.of(ModelPlay.SPEC, ModelPlay.SHAPE);
  private final HeadRoom head =
      new HeadRoom(forecast, new AnswerLength(forecast), 10_000, state(0, 0, 1e9), 0);

  private static HeadState state(int open, long unreadTokens, double starts) {
    return new HeadState("h", "z", open, unreadTokens, 1, true, starts);
  }

  private static RoomRequest request(long promptTokens, int gapMs) {
    return new RoomRequest(
        new RoomRequest.Key("p", 1),
        "z",
        "a",
        0,
        promptTokens,
        100,
        0,
        250,
        gapMs,
        6_000,
        7,
        Set.of(),
        true);
  }

  private Grant add(long promptTokens, long nowMs) {
    RoomRequest request = request(promptTokens, 200);
    long readNanos = (nowMs + 100) * MS;
    Grant grant = new Grant(request, head, 1, head.cacheTokens(request), nowMs * MS, readNanos);
    head.add(grant);
    return grant;
  }

  @Test
  void testFree_ofANewHeadIsAFewStartsAPass() {
    assertThat(head.free(0), is(1));
    add(100, 0);
    assertThat(head.free(1 * MS), is(0));
    assertThat(head.free(100 * MS), is(1));
    assertThat(head.free(800 * MS), is(FULL - 1));
    assertThat(head.freeSlots(800 * MS), is(FULL - 2));
  }

  @Test
  void testFree_countsTheLoadOfOthers() {
    head.setState(state(20, 0, 1e9));
    assertThat(head.free(1_000 * MS), is(FULL - 20));
    head.setState(state(1_000, 0, 1e9));
    assertThat(head.free(1_000 * MS), is(0));
  }

  @Test
  void testRejected_isFullForAPassAndThenRecovers() {
    head.setState(state(10, 0, 1e9));
    head.recordRejected(1_000 * MS);
    assertThat(head.free(1_001 * MS), is(0));
    int early = head.free(1_200 * MS);
    assertThat(early, greaterThan(0));
    assertThat(early, lessThan(FULL - 10));
    assertThat(head.free(3_100 * MS), is(FULL - 10));
  }

  @Test
  void testRoomRate_afterARejectionIsThatOfTheRecovery() {
    HeadState state = state(10, 0, Double.POSITIVE_INFINITY);
    head.setState(state);
    double freedPerMs = head.roomPerMs(1_000 * MS);
    head.recordRejected(1_000 * MS);
    assertThat(head.free(1_001 * MS), is(0));
    double recoveredPerMs = FULL / 2_000.0;
    assertThat(head.roomPerMs(1_001 * MS), closeTo(freedPerMs + recoveredPerMs, 1e-9));
  }

  @Test
  void testLoad_countsTheContextOfOthersAsTheMeanOfTheOwnGrants() {
    Grant grant = add(900, 0);
    head.setState(state(2, 0, 1e9));
    assertThat(head.load().contextTokens(), is(3 * grant.cacheTokens()));
  }

  @Test
  void testAdvance_takesPromptsAsReadAfterTheirTime() {
    add(500, 0);
    Grant second = add(300, 50);
    assertThat(head.load().unreadTokens(), is(800L));
    head.advance(120 * MS);
    assertThat(head.load().unreadTokens(), is(300L));
    head.remove(second);
    head.remove(second);
    assertThat(head.load().unreadTokens(), is(0L));
    assertThat(head.load().open(), is(1));
  }

  @Test
  void testCheck_countsTheCacheOfOthersAsTheMeanOfTheOwnGrants() {
    add(1_900, 0);
    assertThat(head.check(request(7_800, 0), 1_000 * MS), nullValue());
    head.setState(state(3, 0, 1e9));
    assertThat(head.check(request(1_900, 0), 1_000 * MS), nullValue());
    assertThat(head.check(request(2_000, 0), 1_000 * MS), is(RoomRefusal.CACHE_FULL));
  }

  @Test
  void testCheck_keepsTheTargetsOfTheRunningAndOfItself() {
    head.setState(state(3, 8_000, 1e9));
    assertThat(head.check(request(100, 300), 1_000 * MS), nullValue());
    assertThat(head.check(request(100, 100), 1_000 * MS), is(RoomRefusal.GAP_OUT_OF_REACH));
  }

  @Test
  void testRoomRate_isBoundedByTheStartsOfAColdHead() {
    head.setState(state(ModelHead.SLOTS, 0, 2));
    assertThat(head.roomPerMs(1_000 * MS), closeTo(0.002, 1e-9));
    head.setState(state(ModelHead.SLOTS, 0, 1e9));
    assertThat(head.roomPerMs(1_000 * MS), greaterThan(0.01));
  }
}
