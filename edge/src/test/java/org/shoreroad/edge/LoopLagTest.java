package org.shoreroad.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class LoopLagTest {
  private static final long MILLI_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private final List<Long> delaysNanos = new ArrayList<>();
  private final LoopLag lag =
      new LoopLag(
          new EventLog("t", () -> 0, OutputStream.nullOutputStream()), 100, delaysNanos::add);

  @Test
  void longestDelayIsReturnedOnceAndReset() {
    lag.measure(1_000 * MILLI_NANOS);
    lag.measure(1_100 * MILLI_NANOS);
    assertThat(lag.takeLongestMs(), is(0L));
    lag.measure(1_350 * MILLI_NANOS);
    lag.measure(1_460 * MILLI_NANOS);
    assertThat(lag.takeLongestMs(), is(150L));
    assertThat(lag.takeLongestMs(), is(0L));
    assertThat(delaysNanos, is(List.of(0L, 150 * MILLI_NANOS, 10 * MILLI_NANOS)));
  }
}
