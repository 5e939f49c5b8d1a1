package org.shoreroad.routing;

import java.util.concurrent.TimeUnit;

/**
 * Load, latency and failures of one upstream, as seen by one process.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param inFlight number of open requests of this process to the upstream
 * @param reportedLoad open requests beyond {@code inFlight}, from the last report of the upstream
 *     or its owner; the report lags behind
 * @param latencyMs exponentially decaying mean of the response time, in milliseconds, 0 if unknown
 * @param failures number of consecutive failed requests
 * @param avoidUntilNanos time on the monotonic clock until which the upstream is avoided
 * @since 0.1
 */
public record UpstreamStats(
    int inFlight, int reportedLoad, double latencyMs, int failures, long avoidUntilNanos) {
  private static final double NEW_SAMPLE_SHARE = 0.2;
  private static final long FIRST_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final int MAX_DOUBLINGS = 5;

  /** Returns the stats of an upstream without any request or report so far. */
  public static UpstreamStats of(long nowNanos) {
    return new UpstreamStats(0, 0, 0, 0, nowNanos);
  }

  /** Returns a copy with one more request open. */
  public UpstreamStats withStarted() {
    return new UpstreamStats(inFlight + 1, reportedLoad, latencyMs, failures, avoidUntilNanos);
  }

  /** Returns a copy with one request completed after this time. */
  public UpstreamStats withSuccess(double tookMs) {
    double mean = latencyMs == 0 ? tookMs : latencyMs + NEW_SAMPLE_SHARE * (tookMs - latencyMs);
    return new UpstreamStats(Math.max(0, inFlight - 1), reportedLoad, mean, 0, avoidUntilNanos);
  }

  /** Returns a copy with one request failed; each consecutive failure extends the avoidance. */
  public UpstreamStats withFailure(long nowNanos) {
    long avoidNanos = FIRST_AVOID_NANOS << Math.min(failures, MAX_DOUBLINGS);
    return new UpstreamStats(
        Math.max(0, inFlight - 1), reportedLoad, latencyMs, failures + 1, nowNanos + avoidNanos);
  }

  /** Returns a copy with one request ended without any evidence about the upstream. */
  public UpstreamStats withCancelled() {
    return new UpstreamStats(
        Math.max(0, inFlight - 1), reportedLoad, latencyMs, failures, avoidUntilNanos);
  }

  /** Returns a copy with a new report of its load. */
  public UpstreamStats withReportedLoad(int load) {
    return new UpstreamStats(inFlight, load, latencyMs, failures, avoidUntilNanos);
  }

  /** Returns true while the upstream is to be avoided. */
  public boolean isAvoided(long nowNanos) {
    return avoidUntilNanos - nowNanos > 0;
  }
}
