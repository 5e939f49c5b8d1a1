package org.shoreroad.edge.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.caller.HeldBytesRule.Ending;
import org.shoreroad.edge.caller.HeldBytesRule.Holder;
import org.shoreroad.edge.caller.HeldBytesRule.Reason;

class HeldBytesRuleTest {
  private static final long MB = 1_048_576;
  private static final long MS = 1_000_000;

  private final HeldBytesRule rule = new HeldBytesRule(10 * MB, 3_000);

  private static Holder<String> holder(
      String name, long answerBytes, long requestBytes, int unreadMs) {
    return new Holder<>(name, answerBytes, requestBytes, unreadMs * MS);
  }

  private List<String> choose(List<Holder<String>> holders) {
    return rule.choose(holders, 0).stream()
        .map(ending -> ending.holder().connection() + ":" + ending.reason().code())
        .toList();
  }

  @Test
  void nobodyIsEndedBelowTheBounds() {
    assertThat(
        choose(List.of(holder("a", 5 * MB, 0, 2_999), holder("b", 5 * MB, 0, 0))), is(empty()));
  }

  @Test
  void aCallerThatReadsNothingForTooLongIsEnded() {
    assertThat(
        choose(List.of(holder("a", 1, 0, 3_000), holder("b", 1, 0, 2_999))),
        is(List.of("a:unread")));
  }

  @Test
  void theLargestIsEndedAboveTheTotal() {
    assertThat(
        choose(
            List.of(
                holder("a", 3 * MB, 0, 0), holder("b", 5 * MB, 0, 0), holder("c", 4 * MB, 0, 0))),
        is(List.of("b:memory")));
  }

  @Test
  void callersThatReadNothingAreEndedBeforeThoseThatRead() {
    assertThat(
        choose(
            List.of(
                holder("a", 6 * MB, 0, 0),
                holder("b", 2 * MB, 0, 200),
                holder("c", 3 * MB, 0, 100))),
        is(List.of("c:memory")));
  }

  @Test
  void whatTheUnreadHeldMakesRoomForOthers() {
    assertThat(
        choose(List.of(holder("a", 6 * MB, 0, 3_000), holder("b", 6 * MB, 0, 0))),
        is(List.of("a:unread")));
  }

  @Test
  void requestsDoNotEndAConnection() {
    assertThat(choose(List.of(holder("a", 0, 20 * MB, 0))), is(empty()));
    assertThat(
        choose(List.of(holder("a", 0, 20 * MB, 0), holder("b", 1, 0, 0))), is(List.of("b:memory")));
  }

  @Test
  void theTotalIsWithinItsBoundForAnyHolders() {
    Random random = new Random(5);
    for (int round = 0; round < 200; round++) {
      List<Holder<String>> holders = new ArrayList<>();
      for (int i = 0; i < random.nextInt(100); i++) {
        holders.add(holder("c" + i, random.nextInt(1_000_000), 0, random.nextInt(3_500)));
      }
      List<Holder<String>> left = new ArrayList<>(holders);
      for (Ending<String> ending : rule.choose(holders, 0)) {
        left.remove(ending.holder());
        boolean isUnread = ending.holder().unreadNanos() >= 3_000 * MS;
        assertThat(ending.reason(), is(isUnread ? Reason.UNREAD : Reason.MEMORY));
      }
      assertThat(HeldBytesRule.totalBytes(left), lessThanOrEqualTo(10 * MB));
    }
  }

  @Test
  void theBoundFollowsFromTheMemory() {
    assertThat(HeldBytesRule.forMemory(100 * MB).maxBytes(), is(25 * MB));
    assertThat(HeldBytesRule.forMemory(0).maxBytes(), is(HeldBytesRule.MIN_BYTES));
  }

  @Test
  void impossibleBoundsAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new HeldBytesRule(MB - 1, 1));
    assertThrows(IllegalArgumentException.class, () -> new HeldBytesRule(MB, 0));
  }

  @Test
  void oneAnswerMayHoldHalfOfTheFreeMemory() {
    HeldBytesRule larger = new HeldBytesRule(16 * MB, 3_000);
    assertThat(larger.maxAnswerBytes(0), is(6 * MB));
    assertThat(larger.maxAnswerBytes(8 * MB), is(2 * MB));
    assertThat(larger.maxAnswerBytes(12 * MB), is(0L));
    assertThat(larger.maxAnswerBytes(16 * MB), is(0L));
  }

  @Test
  void answersThatGrowToWhatTheyMayHoldLeaveMemoryForOthers() {
    long[] answers = new long[200];
    long total = 0;
    for (int round = 0; round < 1_000; round++) {
      for (int i = 0; i < answers.length; i++) {
        if (answers[i] < rule.maxAnswerBytes(total)) {
          answers[i] += 1_000;
          total += 1_000;
        }
      }
    }
    assertThat(rule.maxAnswerBytes(total), greaterThan(0L));
    assertThat(total, lessThan(rule.maxAcceptedBytes()));
  }

  @Test
  void bytesHeldElsewhereCountForTheBound() {
    List<Holder<String>> holders = List.of(holder("a", 4 * MB, 0, 0), holder("b", 2 * MB, 0, 0));
    assertThat(rule.choose(holders, 4 * MB), is(empty()));
    assertThat(rule.choose(holders, 5 * MB).size(), is(1));
  }
}
