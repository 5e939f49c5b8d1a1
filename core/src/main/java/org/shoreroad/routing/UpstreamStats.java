package org.shoreroad.routing;

import java.util.concurrent.TimeUnit;

/**
 * What one process knows of one upstream by its own work: what is open, how fast it answers, how
 * often it fails.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param inFlight how many requests of this process are open there
 * @param reportedLoad what the upstream, or its owner, last said of its load, beyond {@code
 *     inFlight}; it lags
 * @param latencyMs the decaying mean of the time to its answer, in milliseconds, 0 if unknown
 * @param failures how many requests failed there in a row
 * @param avoidUntilNanos until when, on the monotonic clock, it is passed over
 * @since 0.1
 */
public record UpstreamStats(
    int inFlight, int reportedLoad, double latencyMs, int failures, long avoidUntilNanos) {
  private static final double NEW_SAMPLE_SHARE = 0.2;
  private static final long FIRST_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final int MAX_DOUBLINGS = 5;

  /** Returns the stats of an upstream that nothing is known of. */
  public static UpstreamStats of(long nowNanos) {
    return new UpstreamStats(0, 0, 0, 0, nowNanos);
  }

  /** Returns a copy with one more request open. */
  public UpstreamStats withStarted() {
    return new UpstreamStats(inFlight + 1, reportedLoad, latencyMs, failures, avoidUntilNanos);
  }

  /** Returns a copy with one request ended well after this time. */
  public UpstreamStats withSuccess(double tookMs) {
    double mean = latencyMs == 0 ? tookMs : latencyMs + NEW_SAMPLE_SHARE * (tookMs - latencyMs);
    return new UpstreamStats(Math.max(0, inFlight - 1), reportedLoad, mean, 0, avoidUntilNanos);
  }

  /** Returns a copy with one request failed; the upstream is passed over, longer each time. */
  public UpstreamStats withFailure(long nowNanos) {
    long avoidNanos = FIRST_AVOID_NANOS << Math.min(failures, MAX_DOUBLINGS);
    return new UpstreamStats(
        Math.max(0, inFlight - 1), reportedLoad, latencyMs, failures + 1, nowNanos + avoidNanos);
  }

  /** Returns a copy with one request ended that says nothing of the upstream. */
  public UpstreamStats withCancelled() {
    return new UpstreamStats(
        Math.max(0, inFlight - 1), reportedLoad, latencyMs, failures, avoidUntilNanos);
  }

  /** Returns a copy with a new report of its load. */
  public UpstreamStats withReportedLoad(int load) {
    return new UpstreamStats(inFlight, load, latencyMs, failures, avoidUntilNanos);
  }

  /** Returns true while the upstream is passed over. */
  public boolean isAvoided(long nowNanos) {
    return avoidUntilNanos - nowNanos > 0;
  }
}
