package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.junit.jupiter.api.Test;

class WaitingRequestTest {
  private static final long MS = 1_000_000L;

  private final RoomRequest request =
      new RoomRequest(
          new RoomRequest.Key("p", 1),
          "z",
          "a",
          0,
          100,
          100,
          20,
          400,
          200,
          1_000,
          7,
          Set.of(),
          true);
  private final WaitingRequest waiting = new WaitingRequest(request, 500 * MS, 820 * MS, 1, false);

  @Test
  void testBudget_isTheTimeToTheFirstEvent() {
    assertThat(waiting.budgetMs(500 * MS), is(320.0));
    assertThat(waiting.budgetMs(900 * MS), is(-80.0));
  }

  @Test
  void testPatience_isAQuarterOfTheTargetFromTheCallersFirstByte() {
    assertThat(waiting.patienceMs(500 * MS), is(80.0));
    assertThat(waiting.patienceMs(590 * MS), is(-10.0));
  }

  @Test
  void testRemaining_isNeverNegative() {
    assertThat(waiting.remainingMs(1_000 * MS), is(500));
    assertThat(waiting.remainingMs(3_000 * MS), is(0));
  }
}
