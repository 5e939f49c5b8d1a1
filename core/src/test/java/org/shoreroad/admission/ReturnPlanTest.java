package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.shoreroad.admission.ReturnPlan.Ticket;

class ReturnPlanTest {
  private static final long MS = 1_000_000;
  private static final int PASS_MS = 60;
  private static final int REMAINING_MS = 6_000;
  private static final int ALLOWED_MS = REMAINING_MS / 3;

  private final ReturnPlan plan = new ReturnPlan(new Random(1), PASS_MS);

  private static void free(ReturnPlan plan, int count, int everyMs) {
    for (int i = 1; i <= count; i++) {
      plan.recordFreed(i * everyMs * MS);
    }
  }

  @Test
  void anIdlePlanGivesARandomDelayOfOneToTwoPasses() {
    List<Integer> delays = new ArrayList<>();
    for (int seed = 0; seed < 50; seed++) {
      ReturnPlan fresh = new ReturnPlan(new SplittableRandom(seed), PASS_MS);
      delays.add(fresh.invite(1, 0, REMAINING_MS, 0));
    }
    assertThat(delays, everyItem(is(both(greaterThanOrEqualTo(PASS_MS)).and(lessThan(125)))));
    assertThat(new HashSet<>(delays).size(), greaterThan(10));
  }

  @Test
  void anInvitedCallerIsExpectedFromItsTimeUntilItExpires() {
    int delayMs = plan.invite(1, 0, REMAINING_MS, 0);
    assertThat(plan.isExpected(1, (delayMs - 30) * MS), is(false));
    assertThat(plan.isExpected(1, delayMs * MS), is(true));
    assertThat(plan.isExpected(2, delayMs * MS), is(false));
    assertThat(plan.isExpected(1, (delayMs + ReturnPlan.EXPIRY_MS + 1) * MS), is(false));
  }

  @Test
  void anInvitationEndsWithTheTimeOfTheCaller() {
    plan.invite(1, 0, 900, 0);
    assertThat(plan.isExpected(1, 890 * MS), is(true));
    assertThat(plan.isExpected(1, 901 * MS), is(false));
  }

  @Test
  void aReturnedCallerIsNoLongerExpected() {
    int delayMs = plan.invite(1, 0, REMAINING_MS, 0);
    plan.recordReturned(1);
    plan.recordReturned(99);
    assertThat(plan.isExpected(1, delayMs * MS), is(false));
    assertThat(plan.rememberedCount(), is(0));
  }

  @Test
  void thoseWhoWaitGoFirst() {
    free(plan, 200, 10);
    int delayMs = plan.invite(1, 100, REMAINING_MS, 2_000 * MS);
    assertThat(delayMs, is(both(greaterThan(900)).and(lessThan(1_500))));
  }

  @Test
  void aHigherRateGivesAnEarlierReturn() {
    ReturnPlan fast = new ReturnPlan(new Random(1), PASS_MS);
    free(plan, 40, 50);
    free(fast, 400, 5);
    int slowMs = plan.invite(1, 20, REMAINING_MS, 2_000 * MS);
    int fastMs = fast.invite(1, 20, REMAINING_MS, 2_000 * MS);
    assertThat(fastMs, lessThan(slowMs / 2));
  }

  @Test
  void aCallerThatCanNotBeServedInTimeIsToldTheExpectedTime() {
    free(plan, 200, 10);
    int delayMs = plan.invite(1, 1_000, REMAINING_MS, 2_000 * MS);
    assertThat(delayMs, is(both(greaterThan(8_000)).and(lessThan(13_000))));
    assertThat(plan.isExpected(1, (2_000L + delayMs) * MS), is(false));
    assertThat(plan.invite(2, 1_000_000, REMAINING_MS, 2_000 * MS), is(ReturnPlan.MAX_DELAY_MS));
    assertThat(plan.rememberedCount(), is(0));
  }

  @Test
  void aCallerWithLittleTimeIsToldMoreThanAThirdOfIt() {
    assertThat(plan.invite(1, 0, 150, 0), greaterThan(50));
    assertThat(plan.rememberedCount(), is(0));
  }

  @Test
  void refusalsBeyondTheScheduleTakeNoPlaceInIt() {
    free(plan, 200, 10);
    long now = 2_000 * MS;
    for (int i = 0; i < 500; i++) {
      plan.invite(i, 0, 600, now);
    }
    int delayMs = plan.invite(1_000, 0, REMAINING_MS, now);
    assertThat(delayMs, lessThan(ALLOWED_MS));
  }

  @Test
  void badTimesHaveNoEffectOnOthers() {
    assertThat(plan.invite(1, -5, -1_000, 0), greaterThan(0));
    int hugeMs = plan.invite(2, Integer.MAX_VALUE, Integer.MAX_VALUE, 0);
    assertThat(hugeMs, is(ReturnPlan.MAX_DELAY_MS));
    plan.invite(3, Integer.MIN_VALUE, Integer.MIN_VALUE, 0);
    assertThat(plan.invite(4, 0, REMAINING_MS, 0), lessThan(ALLOWED_MS));
  }

  @Test
  void callersThatDoNotWaitAreNotExpected() {
    for (int i = 0; i < 3; i++) {
      int delayMs = plan.invite(1, 0, REMAINING_MS, i * 10 * MS);
      assertThat(delayMs, greaterThan(20));
      assertThat(plan.isExpected(1, (i * 10 + 10) * MS), is(false));
    }
  }

  @Test
  void callersWithTheSameContentDoNotReturnTogether() {
    List<Integer> delays = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      delays.add(plan.invite(1, 0, 60_000, 0));
    }
    assertThat(new HashSet<>(delays).size(), is(10));
    for (int i = 0; i < 10; i++) {
      assertThat(plan.isExpected(1, (delays.get(9) + 1) * MS), is(true));
      plan.recordReturned(1);
    }
    assertThat(plan.isExpected(1, delays.get(9) * MS), is(false));
  }

  @Test
  void ticketsAreReportedTwiceAndInBoundedLists() {
    free(plan, 2_000, 1);
    long now = 2_000 * MS;
    int invited = 0;
    for (int i = 0; i < 600; i++) {
      invited += plan.invite(i, 0, 60_000, now) < 20_000 ? 1 : 0;
    }
    assertThat(invited, greaterThan(300));
    List<Ticket> tickets = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      List<Ticket> taken = plan.takeNewTickets(now);
      assertThat(taken.size(), lessThanOrEqualTo(ReturnPlan.MAX_TICKETS));
      tickets.addAll(taken);
    }
    assertThat(tickets.size(), is(2 * invited));
    assertThat(new HashSet<>(tickets).size(), is(invited));
  }

  @Test
  void aTicketIsInAnotherListWhenItIsReportedAgain() {
    plan.invite(1, 0, REMAINING_MS, 0);
    assertThat(plan.takeNewTickets(0).size(), is(1));
    assertThat(plan.takeNewTickets(0).size(), is(1));
    assertThat(plan.takeNewTickets(0).size(), is(0));
  }

  @Test
  void ticketsOfInvitationsThatEndedAreNotReported() {
    plan.invite(1, 0, REMAINING_MS, 0);
    plan.invite(2, 0, REMAINING_MS, 0);
    plan.recordReturned(1);
    assertThat(plan.takeNewTickets(0).size(), is(1));
    assertThat(plan.takeNewTickets(60_000 * MS).size(), is(0));
  }

  @Test
  void aFloodOfTicketsIsBoundedAndHasNoEffectOnOwnInvitations() {
    int delayMs = plan.invite(1, 0, REMAINING_MS, 0);
    List<Ticket> flood = new ArrayList<>();
    Random random = new Random(2);
    for (int i = 0; i < 100_000; i++) {
      flood.add(new Ticket(random.nextLong(), random.nextInt(), random.nextInt()));
    }
    for (int i = 0; i < 100; i++) {
      plan.addTickets(flood.subList(i * 1_000, flood.size()), 0);
    }
    assertThat(plan.rememberedCount(), lessThanOrEqualTo(2 * ReturnPlan.MAX_INVITATIONS));
    assertThat(plan.isExpected(1, delayMs * MS), is(true));
    assertThat(plan.invite(2, 0, REMAINING_MS, 0), lessThan(ALLOWED_MS));
  }

  @Test
  void ticketsWithAnImpossibleTimeAreIgnored() {
    plan.addTickets(
        List.of(
            new Ticket(1, Integer.MIN_VALUE, -1),
            new Ticket(2, Integer.MAX_VALUE, 0),
            new Ticket(3, -ReturnPlan.EXPIRY_MS - 1, 0)),
        0);
    assertThat(plan.rememberedCount(), is(0));
  }

  @Test
  void memoryIsBoundedForAnyNumberOfRefusals() {
    long now = 0;
    for (int i = 0; i < 100_000; i++) {
      plan.recordFreed(now);
      plan.invite(i, 0, 200_000, now);
      now += MS / 10;
    }
    assertThat(plan.rememberedCount(), lessThanOrEqualTo(ReturnPlan.MAX_INVITATIONS));
  }
}
