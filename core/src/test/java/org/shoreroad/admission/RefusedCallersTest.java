package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import org.junit.jupiter.api.Test;

class RefusedCallersTest {
  private static final long SECOND_NANOS = 1_000_000_000;

  private final RefusedCallers callers = new RefusedCallers(3);

  @Test
  void callerIsFoundUntilItsDeadline() {
    callers.add(7, 5, 1_000, 10);
    assertThat(callers.findFirstNanos(7, 10 + SECOND_NANOS), is(5L));
    assertThat(callers.findFirstNanos(7, 11 + SECOND_NANOS), is(nullValue()));
    assertThat(callers.findFirstNanos(8, 10), is(nullValue()));
  }

  @Test
  void eachOfSeveralCallersWithOneContentIsFoundOnce() {
    callers.add(7, 5, 1_000, 10);
    callers.add(7, 9, 1_000, 10);
    callers.remove(7);
    assertThat(callers.findFirstNanos(7, 10), is(5L));
    callers.remove(7);
    assertThat(callers.findFirstNanos(7, 10), is(nullValue()));
  }

  @Test
  void oldestCallersAreDroppedAboveTheCapacity() {
    for (long hash = 1; hash <= 5; hash++) {
      callers.add(hash, 0, 1_000, 0);
    }
    assertThat(callers.size(), is(3));
    assertThat(callers.findFirstNanos(2, 0), is(nullValue()));
    assertThat(callers.findFirstNanos(3, 0), is(0L));
  }
}
