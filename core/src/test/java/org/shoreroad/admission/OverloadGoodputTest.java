package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays load above the capacity of model engines, alone and with one failure. */
class OverloadGoodputTest {
  private static final int HEADS = 8;
  private static final double CAPACITY_PER_MS = ModelPlay.capacityPerMs(HEADS);
  private static final List<String> ACCOUNTS = List.of("a", "b", "c", "d");

  /** Time until all calls that arrived in the measured interval have ended, in milliseconds. */
  private static final double END_MS = 12_000;

  private static ModelPlay playLoad(long seed, double load) {
    ModelPlay play = new ModelPlay(seed, HEADS);
    return play.withSource(ACCOUNTS, 0, load * CAPACITY_PER_MS, 0, 8_000);
  }

  @Test
  void testGoodput_doesNotFallWhenTheLoadRises() {
    Map<Double, Long> totals = new HashMap<>();
    for (long seed = 1; seed <= 6; seed++) {
      Map<Double, ModelPlay> plays = playLoads(seed);
      assertGoodput(plays);
      plays.forEach((load, play) -> totals.merge(load, inTime(play), Long::sum));
    }
    double best = Collections.max(totals.values());
    totals.forEach(
        (load, total) ->
            assertThat("load " + load, (double) total, greaterThanOrEqualTo(0.9 * best)));
  }

  private static Map<Double, ModelPlay> playLoads(long seed) {
    Map<Double, ModelPlay> plays = new HashMap<>();
    for (double load : new double[] {1, 1.5, 2, 3}) {
      ModelPlay play = playLoad(seed, load);
      play.play(END_MS);
      plays.put(load, play);
    }
    return plays;
  }

  private static void assertGoodput(Map<Double, ModelPlay> plays) {
    long best = plays.values().stream().mapToLong(OverloadGoodputTest::inTime).max().orElseThrow();
    plays.forEach(
        (load, play) -> {
          // The arrivals of one seed may be fewer than what the heads can serve.
          long possible = Math.min(best, play.count(call -> true, 2_000, 8_000));
          String name = "load " + load + ", best " + best;
          assertThat(name, (double) inTime(play), greaterThanOrEqualTo(0.9 * possible));
          assertThat(name, play.rejected(), is(0));
        });
  }

  private static long inTime(ModelPlay play) {
    return play.count(ModelCall::isInTime, 2_000, 8_000);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testSizes_longRequestsAreNotStarved(long seed) {
    ModelPlay play = playLoad(seed, 2);
    play.play(END_MS);
    Predicate<ModelCall> isLongAnswer = call -> call.answerTokens > 2 * 23 * ModelHead.STRIDE;
    Predicate<ModelCall> isLongPrompt = call -> call.promptTokens > 2 * 714;
    double all = play.shareInTime(call -> true, 2_000, 8_000);
    assertThat(play.shareInTime(isLongAnswer, 2_000, 8_000), greaterThan(all / 2));
    assertThat(play.shareInTime(isLongPrompt, 2_000, 8_000), greaterThan(all / 4));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testPriority_aBurstOfTheLeastUrgentTakesNothingFromTheOthers(long seed) {
    double[] shares = new double[2];
    for (int burst = 0; burst < 2; burst++) {
      ModelPlay play = new ModelPlay(seed, HEADS);
      for (int priority = 0; priority < 3; priority++) {
        play.withSource(ACCOUNTS, priority, 0.3 * CAPACITY_PER_MS, 0, 8_000);
      }
      if (burst == 1) {
        play.withSource(ACCOUNTS, 2, 1.5 * 0.3 * CAPACITY_PER_MS, 3_000, 6_000);
      }
      play.play(END_MS);
      shares[burst] = play.shareInTime(call -> call.priority < 2, 3_000, 6_500);
    }
    // The room that is kept is to suffice in 97 of 100 passes.
    assertThat(shares[1], greaterThanOrEqualTo(shares[0] - 0.03));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testPriority_aFloodOfTheMostUrgentLeavesTheOthersAShare(long seed) {
    ModelPlay play = playLoad(seed, 2);
    play.withSource(ACCOUNTS, 2, 0.3 * CAPACITY_PER_MS, 0, 8_000);
    play.play(END_MS);
    long lessUrgent = play.count(call -> call.priority == 2 && call.isInTime(), 2_000, 8_000);
    assertThat((double) lessUrgent, greaterThan(0.03 * CAPACITY_PER_MS * 6_000));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testAccounts_aFloodingOneGetsWhatTheOthersLeave(long seed) {
    ModelPlay play = new ModelPlay(seed, HEADS);
    play.withSource(ACCOUNTS, 0, 0.5 * CAPACITY_PER_MS, 0, 8_000);
    play.withSource(List.of("large"), 0, 2 * CAPACITY_PER_MS, 1_000, 8_000);
    play.play(END_MS);
    double share = play.shareInTime(call -> !call.account.equals("large"), 2_000, 8_000);
    assertThat(share, greaterThanOrEqualTo(0.95));
    long all = play.count(ModelCall::isInTime, 2_000, 8_000);
    assertThat((double) all, greaterThanOrEqualTo(0.9 * CAPACITY_PER_MS * 6_000));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testFailure_theRoomOfALostHolderIsUsedAgain(long seed) {
    ModelPlay play = playLoad(seed, 2);
    play.play(3_000);
    play.cutHolder();
    play.play(END_MS);
    double lostMs = 3_000 + RoomBook.grantMillis() + 100;
    long inTime = play.count(ModelCall::isInTime, lostMs, 8_000);
    assertThat((double) inTime, greaterThanOrEqualTo(0.9 * CAPACITY_PER_MS * (8_000 - lostMs)));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testFailure_theOtherHeadsKeepTheirGoodput(long seed) {
    ModelPlay play = playLoad(seed, 2);
    play.play(3_000);
    play.heads.get(0).isDark = true;
    play.heads.get(0).clear();
    play.play(END_MS);
    long inTime = play.count(ModelCall::isInTime, 4_000, 8_000);
    double left = CAPACITY_PER_MS * 4_000 * (HEADS - 1) / HEADS;
    assertThat((double) inTime, greaterThanOrEqualTo(0.9 * left));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testStart_aNewBookDoesNotFloodHeadsThatAreFull(long seed) {
    ModelPlay play = playLoad(seed, 2);
    play.play(3_000);
    play.heads.forEach(head -> head.longestQueue = 0);
    play.replaceBook();
    play.play(END_MS);
    long inTime = play.count(ModelCall::isInTime, 3_000, 5_000);
    assertThat(play.rejected(), is(0));
    // The aim after a loss of all processes is half of a usual second.
    assertThat((double) inTime, greaterThanOrEqualTo(0.5 * CAPACITY_PER_MS * 2_000));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testStart_aNewBookRefusesNothingThatHeadsWithoutLoadCanTake(long seed) {
    ModelPlay play = playLoad(seed, 0.8);
    play.play(END_MS);
    assertThat(play.shareInTime(call -> true, 0, 2_000), greaterThanOrEqualTo(0.97));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testAccounts_shareTheTimeOfTheEnginesAndNotTheNumberOfRequests(long seed) {
    ModelPlay play = new ModelPlay(seed, HEADS);
    play.withSource(List.of("small"), 0, 1.5 * CAPACITY_PER_MS, 0, 8_000);
    play.withLargerCalls("large", 0.75 * CAPACITY_PER_MS, 2, 8_000);
    play.play(END_MS);
    double smallCost = cost(play, "small");
    double largeCost = cost(play, "large");
    assertThat(smallCost / largeCost, closeTo(1, 0.25));
  }

  private static double cost(ModelPlay play, String account) {
    EngineForecast forecast = EngineForecast.of(ModelPlay.SPEC, ModelPlay.SHAPE);
    return play.calls.stream()
        .filter(call -> call.account.equals(account) && call.isInTime())
        .mapToDouble(
            call -> forecast.costMs(call.promptTokens, forecast.answerPasses(call.answerTokens)))
        .sum();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void testForeignLoad_leavesTheRestInTime(long seed) {
    ModelPlay play = playLoad(seed, 1);
    play.withForeignLoad(0.4 * CAPACITY_PER_MS);
    play.play(END_MS);
    // The others choose heads at random and overload some, so not all of the rest is usable.
    assertThat((double) inTime(play), greaterThan(0.8 * 0.6 * CAPACITY_PER_MS * 6_000));
  }
}
