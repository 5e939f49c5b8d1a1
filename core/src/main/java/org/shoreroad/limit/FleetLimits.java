package org.shoreroad.limit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.Incarnation;

/**
 * Rate limits that upstreams have stated in answers to any process, and the share of this process
 * in each.
 *
 * <p>An overloaded upstream may accept only one or a few requests per second from all processes
 * together, while each process alone sends fewer than that, so that no process can keep the limit
 * by itself. Each limit is therefore reported to all processes and divided among a few of them,
 * which pace their requests. The other processes skip the upstream.
 *
 * <p>Two processes whose membership views differ may both hold the same share for a moment, so a
 * share that moves to another process begins with a pause. The newest answer of an upstream counts.
 * An answer without a limit ends the limit only if its request was sent after the limit was last
 * stated, since an older answer may have been in flight. This class reads no clock: times are
 * passed in, in nanoseconds of the monotonic clock. Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class FleetLimits {
  /** Time after which a limit that isn't stated again is dropped, in milliseconds. */
  static final long KEEP_MS = TimeUnit.MINUTES.toMillis(10);

  /** Time for which a change is reported: five heartbeats, so that a lost one does no harm. */
  private static final long ANNOUNCE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Interval after which a limit is reported again, for processes that have just started. */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Maximum number of limits in one heartbeat: about 35 bytes each, 2.2 KB in all. */
  private static final int MAX_REPORTED = 64;

  /** Maximum number of upstreams, above the size of any fleet; further reports are ignored. */
  private static final int MAX_UPSTREAMS = 20_000;

  private final String self;
  private final Map<Incarnation, LimitedUpstream> upstreams = new HashMap<>();
  private Set<String> sharers = Set.of();

  /**
   * Creates a table without limits.
   *
   * @param self the name of this process, not null
   */
  public FleetLimits(String self) {
    this.self = self;
  }

  /**
   * Sets the names of the processes that limits are divided among, including this one. While the
   * set is empty, this process sends nothing to limited upstreams.
   */
  public void setSharers(Set<String> names, long nowNanos) {
    if (!names.equals(sharers)) {
      sharers = Set.copyOf(names);
      upstreams.values().forEach(upstream -> upstream.assignShare(self, sharers, nowNanos));
    }
  }

  /**
   * Applies the limit, or its absence, in an answer to this process.
   *
   * @param upstream the upstream that answered, not null
   * @param limit the limit that the answer states, or null if it states none
   * @param sentNanos the time at which the request was sent
   * @return the change of the upstream's limit
   */
  public LimitChange recordAnswer(
      Incarnation upstream, @Nullable RequestLimit limit, long sentNanos, long nowNanos) {
    LimitedUpstream known = upstreams.get(upstream);
    if (limit == null && (known == null || sentNanos <= known.statedNanos())) {
      return LimitChange.NONE;
    }
    // The upstream may have written the head of the answer as soon as it received the request.
    long statedNanos = limit == null ? sentNanos : nowNanos;
    return update(upstream, limit, statedNanos, nowNanos);
  }

  /** Applies a report of another process and returns the change of the upstream's limit. */
  public LimitChange applyReport(LimitReport report, long nowNanos) {
    if (report.ageMs() > KEEP_MS) {
      return LimitChange.NONE;
    }
    long statedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(report.ageMs());
    LimitedUpstream known = upstreams.get(report.upstream());
    if (known != null && statedNanos <= known.statedNanos()) {
      return LimitChange.NONE;
    }
    return update(report.upstream(), report.limit(), statedNanos, nowNanos);
  }

  private LimitChange update(
      Incarnation upstream, @Nullable RequestLimit limit, long statedNanos, long nowNanos) {
    LimitedUpstream known = upstreams.get(upstream);
    if (known == null) {
      if (limit == null || upstreams.size() >= MAX_UPSTREAMS) {
        return LimitChange.NONE;
      }
      LimitedUpstream added = new LimitedUpstream(upstream, limit, statedNanos, nowNanos);
      added.assignShare(self, sharers, nowNanos);
      upstreams.put(upstream, added);
      return LimitChange.BEGUN;
    }
    LimitChange change = known.update(limit, statedNanos, nowNanos);
    if (change != LimitChange.NONE) {
      known.assignShare(self, sharers, nowNanos);
    }
    return change;
  }

  /** Returns the reports that are due: recent changes, and every limit again at an interval. */
  public List<LimitReport> reports(long nowNanos) {
    long keepNanos = TimeUnit.MILLISECONDS.toNanos(KEEP_MS);
    upstreams.values().removeIf(upstream -> nowNanos - upstream.statedNanos() > keepNanos);
    return upstreams.values().stream()
        .filter(upstream -> upstream.isReportDue(ANNOUNCE_NANOS, REPEAT_NANOS, nowNanos))
        .sorted(Comparator.comparingLong(LimitedUpstream::reportedNanos))
        .limit(MAX_REPORTED)
        .map(upstream -> upstream.report(nowNanos))
        .toList();
  }

  /** Returns true if no limit is known, the usual case, in which callers can skip the look-ups. */
  public boolean isEmpty() {
    return upstreams.isEmpty();
  }

  /** Returns true if the upstream has a limit in force. */
  public boolean isLimited(Incarnation upstream) {
    LimitedUpstream known = upstreams.get(upstream);
    return known != null && known.limit() != null;
  }

  /** Returns the number of upstreams that have a limit. */
  public int limitedCount() {
    return (int) upstreams.values().stream().filter(known -> known.limit() != null).count();
  }

  /** Returns true if this process may send the upstream a request now. */
  public boolean hasTurn(Incarnation upstream, long nowNanos) {
    LimitedUpstream known = upstreams.get(upstream);
    return known == null || known.hasTurn(nowNanos);
  }

  /**
   * Takes the turn for one request.
   *
   * @return true if the request may be sent: there is no limit, or a turn was available
   */
  public boolean takeTurn(Incarnation upstream, long nowNanos) {
    LimitedUpstream known = upstreams.get(upstream);
    if (known == null) {
      return true;
    }
    if (!known.hasTurn(nowNanos)) {
      return false;
    }
    known.takeTurn(nowNanos);
    return true;
  }
}
