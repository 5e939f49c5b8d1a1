package org.shoreroad.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class AttemptBudgetTest {
  private static final int WINDOW_SECONDS = 10;
  private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final AttemptBudget budget = new AttemptBudget(0.2, 90, WINDOW_SECONDS);

  private int takeAll(long nowNanos, int processes) {
    int taken = 0;
    while (budget.tryRepeat(nowNanos, processes)) {
      taken++;
    }
    return taken;
  }

  @Test
  void theSlackIsDividedAmongTheProcesses() {
    assertThat(takeAll(0, 9), is(7));
  }

  @Test
  void nineProcessesTogetherStayWithinTheSlack() {
    int all = 0;
    for (int process = 0; process < 9; process++) {
      AttemptBudget one = new AttemptBudget(0.2, 90, WINDOW_SECONDS);
      while (one.tryRepeat(0, 9)) {
        all++;
      }
    }
    assertThat(all, is(lessThanOrEqualTo(90)));
  }

  @Test
  void firstAttemptsEarnRepeats() {
    for (int i = 0; i < 100; i++) {
      budget.recordFirst(0);
    }
    assertThat(takeAll(0, 90), is(14));
  }

  @Test
  void aTakenRepeatIsAvailableAgainOnlyAfterTheWindow() {
    takeAll(0, 9);
    assertThat(takeAll(WINDOW_SECONDS * SECOND_NANOS - 1, 9), is(0));
    assertThat(takeAll(WINDOW_SECONDS * SECOND_NANOS, 9), is(7));
  }

  @Test
  void aNegativeClockReadingIsAllowed() {
    assertThat(new AttemptBudget(0, 90, WINDOW_SECONDS).tryRepeat(-5 * SECOND_NANOS, 9), is(true));
  }
}
