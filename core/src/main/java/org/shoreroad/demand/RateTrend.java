package org.shoreroad.demand;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Trend of a count that is measured again and again, over the last three seconds.
 *
 * <p>Not thread-safe: confined to one thread.
 */
final class RateTrend {
  private static final long SPAN_NANOS = TimeUnit.SECONDS.toNanos(3);
  private static final long MIN_SPAN_NANOS = TimeUnit.SECONDS.toNanos(2);
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /** A change below this many standard deviations of a Poisson count is taken for chance. */
  private static final double SIGNIFICANT_DEVIATIONS = 2;

  /** Time covered by a count. */
  private static final long COUNT_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Deque<Sample> samples = new ArrayDeque<>();
  private long beginNanos = Long.MIN_VALUE;

  /**
   * Adds a measurement, unless the previous one is less than 0.1 s old. The trend begins one second
   * after the first request, when the counts cover a whole second of requests.
   */
  void add(double count, long nowNanos) {
    if (count <= 0) {
      samples.clear();
      beginNanos = nowNanos + COUNT_NANOS;
    }
    if (nowNanos < beginNanos) {
      return;
    }
    Sample last = samples.peekLast();
    if (last != null && nowNanos - last.atNanos < INTERVAL_NANOS) {
      return;
    }
    samples.addLast(new Sample(nowNanos, count));
    while (nowNanos - samples.getFirst().atNanos > SPAN_NANOS) {
      samples.removeFirst();
    }
  }

  /** Returns true if there are measurements of at least two seconds. */
  boolean isKnown() {
    return !samples.isEmpty()
        && samples.getLast().atNanos - samples.getFirst().atNanos >= MIN_SPAN_NANOS;
  }

  /**
   * Returns the relative change of the count in one second, by a least-squares line: 0.1 means that
   * it rises by a tenth of its mean. It is 0 if the change may be chance or is not known yet.
   */
  double relativePerSecond() {
    double mean = samples.stream().mapToDouble(Sample::count).average().orElse(0);
    if (!isKnown() || mean <= 0) {
      return 0;
    }
    double spanSeconds = (samples.getLast().atNanos - samples.getFirst().atNanos) / 1e9;
    double slope = slope(mean);
    boolean isSignificant =
        Math.abs(slope) * spanSeconds > SIGNIFICANT_DEVIATIONS * Math.sqrt(mean);
    return isSignificant ? slope / mean : 0;
  }

  private double slope(double meanCount) {
    long firstNanos = samples.getFirst().atNanos;
    double meanSeconds =
        samples.stream().mapToDouble(s -> (s.atNanos - firstNanos) / 1e9).average().orElse(0);
    double products = 0;
    double squares = 0;
    for (Sample sample : samples) {
      double seconds = (sample.atNanos - firstNanos) / 1e9 - meanSeconds;
      products += seconds * (sample.count - meanCount);
      squares += seconds * seconds;
    }
    return squares == 0 ? 0 : products / squares;
  }

  private record Sample(long atNanos, double count) {}
}
