package org.shoreroad.admission;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;
import org.shoreroad.queue.FairQueue;

class ArrivalReserveTest {
  private static final long MS = 1_000_000L;
  private final ArrivalReserve reserve = new ArrivalReserve();

  /** Records 100 arrivals a second of each of two priorities, for 3 s. */
  private long recordArrivals() {
    long now = 0;
    for (; now < 3_000 * MS; now += 10 * MS) {
      reserve.recordArrival(0, now);
      reserve.recordArrival(1, now);
    }
    return now;
  }

  @Test
  void testExpected_countsMoreUrgentArrivalsAlone() {
    long now = recordArrivals();
    assertThat(reserve.expectedBefore(0, 50, now), is(0.0));
    assertThat(reserve.expectedBefore(1, 50, now), closeTo(5, 0.5));
    assertThat(reserve.expectedBefore(2, 50, now), closeTo(10, 1));
    assertThat(reserve.expectedBefore(FairQueue.PRIORITIES, 50, now), closeTo(10, 1));
  }

  @Test
  void testReserve_isReducedBySlotsThatBecomeFree() {
    long now = recordArrivals();
    assertThat(reserve.reserve(0, 50, 0, now), is(0.0));
    assertThat(reserve.reserve(2, 50, 0, now), closeTo(10 + 2 * Math.sqrt(10), 1.5));
    assertThat(reserve.reserve(2, 50, 30, now), is(0.0));
  }

  @Test
  void testReserve_endsAfterTheArrivals() {
    long now = recordArrivals();
    assertThat(reserve.reserve(2, 50, 1, now), greaterThan(5.0));
    assertThat(reserve.expectedBefore(2, 50, now + 3_000 * MS), closeTo(0, 0.1));
  }

  @Test
  void testReserve_isNoMoreThanTheArrivalsNeed() {
    long now = recordArrivals() + 30_000 * MS;
    // Nothing arrives any more, so no slot is kept, also if slots become free at random.
    assertThat(reserve.reserve(2, 50, 1, now), closeTo(0, 0.01));
  }

  @Test
  void testMayTakeKept_permitsOneOfTenGrants() {
    for (int i = 0; i < FairQueue.OTHERS_INTERVAL; i++) {
      assertThat(reserve.mayTakeKept(), is(false));
      reserve.recordGrant(false);
    }
    assertThat(reserve.mayTakeKept(), is(true));
    reserve.recordGrant(true);
    assertThat(reserve.mayTakeKept(), is(false));
  }
}
