package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shoreroad.admission.ReturnPlan.Ticket;

/** Plays refused callers that return while slots become free at a known rate. */
class ReturnPlanPlayTest {
  private static final long MS = 1_000_000;
  private static final int PASS_MS = 60;
  private static final int REMAINING_MS = 6_000;

  /** Time that a request may wait for a slot, in milliseconds. */
  private static final int PATIENCE_MS = 200;

  private static final int WINDOW_MS = 200;

  /** Returns above the freed slots that a window may hold, for the jitter. */
  private static final int WINDOW_MARGIN = 3;

  private record Caller(long contentHash, int dueMs) {}

  private record Return(Caller caller, int arrivedMs) {}

  private final PriorityQueue<Caller> away =
      new PriorityQueue<>(Comparator.comparingInt(Caller::dueMs));
  private final ArrayDeque<Return> waiting = new ArrayDeque<>();
  private final List<Integer> returnsMs = new ArrayList<>();
  private int invited;
  private int served;
  private int newServed;

  private void refuse(ReturnPlan plan, long contentHash, int nowMs) {
    int delayMs = plan.invite(contentHash, waiting.size(), REMAINING_MS, nowMs * MS);
    if (delayMs <= REMAINING_MS / 3) {
      invited++;
      away.add(new Caller(contentHash, nowMs + delayMs));
    }
  }

  /** Plays one millisecond at an owner: returns arrive, and a slot may become free. */
  private void advance(ReturnPlan plan, int nowMs, boolean isSlotFree) {
    while (!away.isEmpty() && away.peek().dueMs() <= nowMs) {
      Caller caller = away.remove();
      returnsMs.add(nowMs);
      if (plan.isExpected(caller.contentHash(), nowMs * MS)) {
        plan.recordReturned(caller.contentHash());
        waiting.addLast(new Return(caller, nowMs));
      }
    }
    waiting.removeIf(entry -> nowMs - entry.arrivedMs() > PATIENCE_MS);
    if (isSlotFree) {
      plan.recordFreed(nowMs * MS);
      if (waiting.pollFirst() == null) {
        newServed++;
      } else {
        served++;
      }
    }
  }

  private int maxReturnsInWindow() {
    int max = 0;
    for (int first = 0; first < returnsMs.size(); first++) {
      int last = first;
      while (last < returnsMs.size() && returnsMs.get(last) < returnsMs.get(first) + WINDOW_MS) {
        last++;
      }
      max = Math.max(max, last - first);
    }
    return max;
  }

  @ParameterizedTest
  @ValueSource(ints = {5, 10, 20, 50})
  void threeHundredRefusedInASecondReturnWhenSlotsAreFree(int freedEveryMs) {
    for (int seed = 0; seed < 10; seed++) {
      reset();
      ReturnPlan plan = new ReturnPlan(new Random(seed), PASS_MS);
      Random random = new Random(seed);
      int refused = 0;
      for (int nowMs = 0; nowMs < 6_000; nowMs++) {
        if (nowMs >= 2_000 && refused < 300 && random.nextInt(1_000) < 330) {
          refuse(plan, refused++, nowMs);
        }
        advance(plan, nowMs, nowMs % freedEveryMs == 0);
      }
      assertThat(refused, is(300));
      assertThat(invited, greaterThan(0));
      assertThat(served, greaterThanOrEqualTo(invited * 9 / 10));
      int freedInWindow = WINDOW_MS / freedEveryMs;
      assertThat(maxReturnsInWindow(), lessThanOrEqualTo(freedInWindow + WINDOW_MARGIN));
    }
  }

  private void reset() {
    away.clear();
    waiting.clear();
    returnsMs.clear();
    invited = 0;
    served = 0;
    newServed = 0;
  }

  @Test
  void newRequestsGetSlotsBesideTheReturns() {
    ReturnPlan plan = new ReturnPlan(new Random(3), PASS_MS);
    for (int nowMs = 0; nowMs < 10_000; nowMs++) {
      if (nowMs % 5 == 0) {
        refuse(plan, nowMs, nowMs);
      }
      advance(plan, nowMs, nowMs % 10 == 0);
    }
    assertThat(newServed, greaterThan(900));
    // Less than the share, since the last ones are not due yet.
    assertThat(served, greaterThan((int) (0.8 * ReturnShare.MIN_SHARE * 1_000)));
    assertThat(served, greaterThanOrEqualTo(returnsMs.size() * 9 / 10));
  }

  @Test
  void anotherOwnerRecognizesTheReturnsWhenTheOwnerEnds() {
    ReturnPlan plan = new ReturnPlan(new Random(4), PASS_MS);
    ReturnPlan other = new ReturnPlan(new Random(5), PASS_MS);
    for (int nowMs = 0; nowMs < 3_000; nowMs++) {
      if (nowMs >= 2_000 && nowMs % 4 == 0) {
        refuse(plan, nowMs, nowMs);
      }
      plan.recordFreed(nowMs * MS);
      if (nowMs % 100 == 99) {
        List<Ticket> lost = plan.takeNewTickets(nowMs * MS);
        List<Ticket> tickets = plan.takeNewTickets(nowMs * MS);
        assertThat(tickets, is(lost));
        other.addTickets(tickets, (nowMs + 20) * MS);
      }
    }
    assertThat(away.size(), greaterThan(20));
    int recognized = 0;
    int returning = away.size();
    while (!away.isEmpty()) {
      Caller caller = away.remove();
      recognized += other.isExpected(caller.contentHash(), caller.dueMs() * MS) ? 1 : 0;
    }
    assertThat(recognized, is(returning));
  }

  @Test
  void nothingFloodsWhenThePlanStartsAgain() {
    ReturnPlan plan = new ReturnPlan(new Random(6), PASS_MS);
    for (int i = 0; i < 300; i++) {
      refuse(plan, i, i / 10);
    }
    for (int nowMs = 30; nowMs < 6_000; nowMs++) {
      advance(plan, nowMs, nowMs % 40 == 0);
    }
    double leastPerSecond = ReturnShare.MIN_SHARE * FreedRate.ASSUMED_PER_SECOND;
    int allowedSeconds = REMAINING_MS / 3 / 1_000;
    assertThat(invited, greaterThanOrEqualTo((int) (leastPerSecond * allowedSeconds)));
    int assumedInWindow = (int) (FreedRate.ASSUMED_PER_SECOND * WINDOW_MS / 1_000);
    assertThat(maxReturnsInWindow(), lessThanOrEqualTo(assumedInWindow + WINDOW_MARGIN));
    assertThat(served, greaterThanOrEqualTo(returnsMs.size() * 9 / 10));
  }
}
