package org.shoreroad.edge;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.FunctionTimer;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.concurrent.TimeUnit;

/**
 * Histogram of latencies with fixed bucket bounds, with their count and sum. Not thread-safe: used
 * on the event loop.
 */
final class LatencyHistogram {
  private static final int[] BOUNDS_MS = {50, 100, 200, 300, 500, 1_000, 2_000, 5_000};

  private final long[] upTo = new long[BOUNDS_MS.length];
  private long count;
  private long sumNanos;

  /** Records a latency; a negative one counts as 0. */
  void record(long nanos) {
    long latencyNanos = Math.max(0, nanos);
    count++;
    sumNanos += latencyNanos;
    for (int i = 0; i < BOUNDS_MS.length; i++) {
      if (latencyNanos <= TimeUnit.MILLISECONDS.toNanos(BOUNDS_MS[i])) {
        upTo[i]++;
      }
    }
  }

  /** Registers a timer, and a counter {@code NAME.upto} for each bound with a tag in seconds. */
  void register(String name, MeterRegistry registry) {
    FunctionTimer.builder(name, this, h -> h.count, h -> h.sumNanos, TimeUnit.NANOSECONDS)
        .register(registry);
    for (int i = 0; i < BOUNDS_MS.length; i++) {
      int bound = i;
      FunctionCounter.builder(name + ".upto", this, h -> h.upTo[bound])
          .tag("seconds", Double.toString(BOUNDS_MS[i] / 1e3))
          .register(registry);
    }
  }
}
