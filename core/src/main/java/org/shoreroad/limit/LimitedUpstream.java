package org.shoreroad.limit;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.Incarnation;

/**
 * Last known rate limit of one upstream, and the share of it that this process holds.
 *
 * <p>The number of processes that hold a share is about the number of requests per second that the
 * limit allows. They are chosen by rendezvous hashing and hold equal shares. If every process held
 * a share, a limit near one request per second would be exceeded: each may send one request at any
 * time, so that as many requests as processes can arrive at once. Not thread-safe: confined to one
 * thread.
 */
final class LimitedUpstream {
  /** Rate used for a limit of 0: without any request, the end of the limit would not be noticed. */
  private static final double MIN_PER_SECOND = 0.1;

  private final Incarnation upstream;
  private @Nullable RequestLimit limit;
  private long statedNanos;
  private long changedNanos;
  private long reportedNanos;
  private final FleetShare share = FleetShare.withEarlyTurns();

  LimitedUpstream(Incarnation upstream, RequestLimit limit, long statedNanos, long nowNanos) {
    this.upstream = upstream;
    this.limit = limit;
    this.statedNanos = statedNanos;
    this.changedNanos = nowNanos;
    this.reportedNanos = Long.MIN_VALUE / 2;
  }

  @Nullable RequestLimit limit() {
    return limit;
  }

  long statedNanos() {
    return statedNanos;
  }

  /** Sets the limit from an answer that is newer than all earlier ones. */
  LimitChange update(@Nullable RequestLimit newLimit, long newStatedNanos, long nowNanos) {
    RequestLimit former = limit;
    statedNanos = newStatedNanos;
    if (newLimit == null ? former == null : newLimit.equals(former)) {
      return LimitChange.NONE;
    }
    limit = newLimit;
    changedNanos = nowNanos;
    if (newLimit == null) {
      return LimitChange.ENDED;
    }
    return former == null ? LimitChange.BEGUN : LimitChange.CHANGED;
  }

  /**
   * Recomputes whether this process holds a share, and the interval between its turns.
   *
   * @param self the name of this process, not null
   * @param sharers the names of the processes that the limit is divided among; if empty, this
   *     process holds no share
   */
  void assignShare(String self, Set<String> sharers, long nowNanos) {
    RequestLimit currentLimit = limit;
    if (currentLimit == null) {
      return;
    }
    double perSecond = Math.max(MIN_PER_SECOND, currentLimit.perSecond());
    int holders = (int) Math.max(1, Math.min(sharers.size(), Math.round(perSecond)));
    long intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) * holders / perSecond);
    share.assign(self, upstream.id(), sharers, holders, intervalNanos, nowNanos);
  }

  /** Returns true if there is no limit, or if a turn of this process is available now. */
  boolean hasTurn(long nowNanos) {
    return limit == null || share.hasTurn(nowNanos);
  }

  /** Uses the available turn, if there is a limit. */
  void takeTurn(long nowNanos) {
    if (limit != null) {
      share.takeTurn(nowNanos);
    }
  }

  /** Returns true if a report is due: repeatedly after a change, and again at an interval. */
  boolean isReportDue(long announceNanos, long repeatNanos, long nowNanos) {
    return nowNanos - changedNanos < announceNanos || nowNanos - reportedNanos >= repeatNanos;
  }

  long reportedNanos() {
    return reportedNanos;
  }

  LimitReport report(long nowNanos) {
    reportedNanos = nowNanos;
    long ageMs = TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - statedNanos));
    return new LimitReport(upstream, limit, ageMs);
  }
}
