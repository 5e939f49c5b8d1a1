package org.shoreroad.limit;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.routing.Rendezvous;

/**
 * What one process knows of the limit of one upstream, and its own part of it.
 *
 * <p>About as many processes as the limit allows requests a second hold an equal part each, chosen
 * by rendezvous hashing. A part for each process would be useless where the limit is near one a
 * second: with every process allowed one request at any time, 58 processes would send 58 at once.
 * Used by one thread.
 */
final class LimitedUpstream {
  /** A limit of nothing still lets a request through at times, or its end would not be heard. */
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

  /** Takes what the upstream said later than all that is known. */
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
   * Finds out anew whether this process holds a part.
   *
   * @param self the name of this process, not null
   * @param sharers the processes among which the parts are dealt; if empty, this process has none
   */
  void deal(String self, Set<String> sharers, long nowNanos) {
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

  /** Takes the turn that there is, if there is a limit. */
  void takeTurn(long nowNanos) {
    if (limit != null && pacer != null) {
      pacer.take(nowNanos);
    }
  }

  /** Returns true if the other processes are to be told now: of a change, and again at times. */
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
