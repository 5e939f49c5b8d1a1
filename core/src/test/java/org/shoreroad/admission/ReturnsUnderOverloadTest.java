package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays {@link ReturnPlan} with {@link RoomBook}: callers that are refused and return once. */
class ReturnsUnderOverloadTest {
  private static final int HEADS = 8;
  private static final double CAPACITY_PER_MS = ModelPlay.capacityPerMs(HEADS);
  private static final List<String> ACCOUNTS = List.of("a", "b", "c", "d");
  private static final double END_MS = 14_000;

  /** Refuses without inviting anyone. */
  private static final Returns NO_RETURNS =
      new Returns() {
        @Override
        public void recordFreed(long nowNanos) {}

        @Override
        public boolean isExpected(long contentHash, long nowNanos) {
          return false;
        }

        @Override
        public int takeCallerAgeMs(long contentHash, long nowNanos) {
          return 0;
        }

        @Override
        public void recordRefused(long contentHash, int ageMs, int remainingMs, long nowNanos) {}

        @Override
        public void recordReturned(long contentHash) {}

        @Override
        public int invite(long contentHash, int waitingAhead, int remainingMs, long nowNanos) {
          return ReturnPlan.MAX_DELAY_MS;
        }
      };

  private static ReturnPlan plan(long seed) {
    double passMs = ModelPlay.SPEC.passMs(ModelPlay.SHAPE, ModelPlay.SPEC.slots(), 0);
    return new ReturnPlan(new SplittableRandom(seed), passMs);
  }

  private static ModelPlay play(long seed, double load, Returns returns) {
    ModelPlay play = new ModelPlay(seed, HEADS, returns);
    play.withSource(ACCOUNTS, 0, load * CAPACITY_PER_MS, 0, 8_000);
    return play;
  }

  private static long returned(ModelPlay play) {
    return play.calls.stream().filter(call -> call.hasReturned).count();
  }

  private static long refusedAgain(ModelPlay play) {
    return play.calls.stream().filter(call -> call.isRefusedAgain).count();
  }

  @ParameterizedTest
  @CsvSource({"1,1.1", "2,1.1", "1,1.5", "2,1.5", "1,2", "2,2", "1,3", "2,3"})
  void returnsTakeNoMoreThanATenthFromThoseInTime(long seed, double load) {
    ModelPlay without = play(seed, load, NO_RETURNS);
    without.play(END_MS);
    ModelPlay with = play(seed, load, plan(seed));
    with.play(END_MS);
    double possible = without.shareInTime(call -> true, 2_000, 8_000);
    assertThat(with.shareInTime(call -> true, 2_000, 8_000), greaterThanOrEqualTo(0.9 * possible));
    assertThat(returned(with), greaterThan(0L));
    assertThat(refusedAgain(with), lessThanOrEqualTo(returned(with) / 10));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void mostWhoReturnAreServed(long seed) {
    ModelPlay play = play(seed, 0.8, plan(seed));
    play.withSource(ACCOUNTS, 0, 0.8 * CAPACITY_PER_MS, 3_000, 6_000);
    play.play(END_MS);
    assertThat(returned(play), greaterThan(20L));
    assertThat(refusedAgain(play), lessThanOrEqualTo(returned(play) / 10));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void theNextOwnerServesThoseWhomTheFormerOneInvited(long seed) {
    ReturnPlan former = plan(seed);
    ReturnPlan next = plan(seed + 100);
    ModelPlay play = play(seed, 1.5, former);
    play.play(4_000);
    next.addTickets(former.takeNewTickets(play.nanos()), play.nanos());
    play.replaceBook(next);
    play.play(END_MS);
    assertThat(refusedAgain(play), lessThanOrEqualTo(returned(play) / 10));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void withoutTicketsNoMoreThanThoseInvitedBeforeReturnInVain(long seed) {
    ModelPlay play = play(seed, 1.5, plan(seed));
    play.play(4_000);
    long invitedBefore = returned(play);
    play.replaceBook(plan(seed + 100));
    play.play(END_MS);
    long invitedAfter = returned(play) - invitedBefore;
    assertThat(refusedAgain(play), lessThanOrEqualTo(invitedBefore + invitedAfter / 10));
  }
}
