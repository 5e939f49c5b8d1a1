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
 * Limits that upstreams have named to any process, and the share of this process in each.
 *
 * <p>The load that it answers: an upstream in need that takes one request a second, or a few, from
 * all processes together, while each process alone sends less than that. A process can't keep such
 * a limit alone. Each limit is therefore passed on to all processes and divided among a few of
 * them, which pace their requests; the other processes skip the upstream.
 *
 * <p>Two processes whose membership views differ may both hold the same share for a moment; a share
 * that moves to another process begins with a pause. The latest statement of an upstream counts. An
 * answer without a limit ends the limit only if its request was sent after the limit was last
 * named: an older answer may have been in flight. This class reads no clock: times are passed in,
 * in nanoseconds of the steady clock. Used by one thread.
 *
 * @since 0.2
 */
public final class FleetLimits {
  /** A limit is dropped this long after it was last named. Milliseconds. */
  static final long KEEP_MS = TimeUnit.MINUTES.toMillis(10);

  /** Five heartbeats carry each change, so that a lost one does not matter. */
  private static final long NEW_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Interval after which a limit is reported again, for processes that have just started. */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Most limits in one heartbeat: about 35 bytes each, so 2.2 KB. */
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
   * Sets the processes that limits are divided among, including this one; while the set is empty,
   * this process sends nothing to limited upstreams.
   */
  public void setSharers(Set<String> names, long nowNanos) {
    if (!names.equals(sharers)) {
      sharers = Set.copyOf(names);
      upstreams.values().forEach(upstream -> upstream.assignShare(self, sharers, nowNanos));
    }
  }

  /**
   * Applies what an answer to this process states.
   *
   * @param upstream who answered, not null
   * @param limit the limit that the answer names, or null if it names none
   * @param sentNanos when the request was sent
   * @return what that changed
   */
  public LimitChange recordAnswer(
      Incarnation upstream, @Nullable RequestLimit limit, long sentNanos, long nowNanos) {
    LimitedUpstream known = upstreams.get(upstream);
    if (limit == null && (known == null || sentNanos <= known.toldNanos())) {
      return LimitChange.NONE;
    }
    // The upstream may have written the head of the answer as soon as the request had come.
    long toldNanos = limit == null ? sentNanos : nowNanos;
    return tell(upstream, limit, toldNanos, nowNanos);
  }

  /** Applies a report of another process; returns what it changed. */
  public LimitChange applyReport(LimitReport report, long nowNanos) {
    if (report.ageMs() > KEEP_MS) {
      return LimitChange.NONE;
    }
    long toldNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(report.ageMs());
    LimitedUpstream known = upstreams.get(report.upstream());
    if (known != null && toldNanos <= known.toldNanos()) {
      return LimitChange.NONE;
    }
    return tell(report.upstream(), report.limit(), toldNanos, nowNanos);
  }

  private LimitChange tell(
      Incarnation upstream, @Nullable RequestLimit limit, long toldNanos, long nowNanos) {
    LimitedUpstream known = upstreams.get(upstream);
    if (known == null) {
      if (limit == null || upstreams.size() >= MAX_UPSTREAMS) {
        return LimitChange.NONE;
      }
      LimitedUpstream added = new LimitedUpstream(upstream, limit, toldNanos, nowNanos);
      added.assignShare(self, sharers, nowNanos);
      upstreams.put(upstream, added);
      return LimitChange.BEGUN;
    }
    LimitChange change = known.tell(limit, toldNanos, nowNanos);
    if (change != LimitChange.NONE) {
      known.assignShare(self, sharers, nowNanos);
    }
    return change;
  }

  /** Returns the reports that are due: recent changes, and every limit again at an interval. */
  public List<LimitReport> reports(long nowNanos) {
    long keepNanos = TimeUnit.MILLISECONDS.toNanos(KEEP_MS);
    upstreams.values().removeIf(upstream -> nowNanos - upstream.toldNanos() > keepNanos);
    return upstreams.values().stream()
        .filter(upstream -> upstream.isReportDue(NEW_NANOS, REPEAT_NANOS, nowNanos))
        .sorted(Comparator.comparingLong(LimitedUpstream::reportedNanos))
        .limit(MAX_REPORTED)
        .map(upstream -> upstream.report(nowNanos))
        .toList();
  }

  /** Returns true if no upstream has named a limit, as is usual, so that none need be asked for. */
  public boolean isEmpty() {
    return upstreams.isEmpty();
  }

  /** Returns true if the upstream has named a limit that still holds. */
  public boolean isLimited(Incarnation upstream) {
    LimitedUpstream known = upstreams.get(upstream);
    return known != null && known.limit() != null;
  }

  /** Returns how many upstreams have a limit. */
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
   * @return true if the request may be sent: there is no limit, or the turn was there
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
