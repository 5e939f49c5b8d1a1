package org.shoreroad.limit;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.routing.Rendezvous;

/**
 * Limit of one upstream as this process knows it, and the share of this process.
 *
 * <p>About as many processes as the limit allows requests per second hold an equal share each,
 * chosen by rendezvous hashing. A share for each process would not keep a limit near one per
 * second: if each process may send one request at any time, as many can arrive at once. Used by one
 * thread.
 */
final class LimitedUpstream {
  /** Rate used for a limit of 0: without any request, the end of the limit would go unnoticed. */
  private static final double LEAST_PER_SECOND = 0.1;

  private final Incarnation upstream;
  private @Nullable RequestLimit limit;
  private long toldNanos;
  private long changedNanos;
  private long reportedNanos;
  private boolean isHolder;
  private @Nullable TurnPacer pacer;

  LimitedUpstream(Incarnation upstream, RequestLimit limit, long toldNanos, long nowNanos) {
    this.upstream = upstream;
    this.limit = limit;
    this.toldNanos = toldNanos;
    this.changedNanos = nowNanos;
    this.reportedNanos = Long.MIN_VALUE / 2;
  }

  @Nullable RequestLimit limit() {
    return limit;
  }

  long toldNanos() {
    return toldNanos;
  }

  /** Applies a statement of the upstream that is later than all known ones. */
  LimitChange tell(@Nullable RequestLimit newLimit, long newToldNanos, long nowNanos) {
    RequestLimit former = limit;
    toldNanos = newToldNanos;
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
   * Determines again whether this process holds a share, and its interval.
   *
   * @param self the name of this process, not null
   * @param sharers the processes that the limit is divided among; if empty, this process has no
   *     share
   */
  void assignShare(String self, Set<String> sharers, long nowNanos) {
    RequestLimit of = limit;
    if (of == null) {
      return;
    }
    double perSecond = Math.max(LEAST_PER_SECOND, of.perSecond());
    int holders = (int) Math.max(1, Math.min(sharers.size(), Math.round(perSecond)));
    long intervalNanos = (long) (TimeUnit.SECONDS.toNanos(1) * holders / perSecond);
    boolean wasHolder = isHolder;
    isHolder = !sharers.isEmpty() && Rendezvous.placeOf(self, upstream.id(), sharers) < holders;
    if (pacer == null) {
      pacer = new TurnPacer(intervalNanos, nowNanos);
    }
    pacer.setInterval(intervalNanos, nowNanos);
    if (isHolder && !wasHolder) {
      pacer.restart(nowNanos);
    }
  }

  /** Returns true if this process may send a request now: there is no limit, or it has a turn. */
  boolean hasTurn(long nowNanos) {
    return limit == null || (isHolder && pacer != null && pacer.hasTurn(nowNanos));
  }

  /** Uses the available turn, if there is a limit. */
  void takeTurn(long nowNanos) {
    if (limit != null && pacer != null) {
      pacer.take(nowNanos);
    }
  }

  /** Returns true if a report is due: after a change, and again at an interval. */
  boolean isReportDue(long newNanos, long repeatNanos, long nowNanos) {
    return nowNanos - changedNanos < newNanos || nowNanos - reportedNanos >= repeatNanos;
  }

  long reportedNanos() {
    return reportedNanos;
  }

  LimitReport report(long nowNanos) {
    reportedNanos = nowNanos;
    long ageMs = TimeUnit.NANOSECONDS.toMillis(Math.max(0, nowNanos - toldNanos));
    return new LimitReport(upstream, limit, ageMs);
  }
}
