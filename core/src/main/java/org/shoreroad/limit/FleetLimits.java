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
 * The limits that upstreams have named to any process, and the part of each that this process may
 * use.
 *
 * <p>The load that it answers: an upstream in need that takes one request a second, or a few, from
 * all processes together, while each process alone sends it less than that. No process can keep
 * such a limit for itself. So what an answer to one process says is told to all, and the limit is
 * dealt among a few of them, who pace their requests; the others pass the upstream over.
 *
 * <p>Two processes that disagree for a moment on who is there may both hold a part; a part that
 * passes to another process begins with a pause. What an upstream said last counts. An answer
 * without a limit ends it only if its request was sent after an answer last named it: an older one
 * may have been on its way. It reads no clock: times are passed in, in nanoseconds of the steady
 * clock. Used by one thread.
 *
 * @since 0.2
 */
public final class FleetLimits {
  /** A limit that no answer has named for this long is dropped; the next answer names it again. */
  static final long KEEP_MS = TimeUnit.MINUTES.toMillis(10);

  /** Five heartbeats: a change is told so often, so that a lost one does not matter. */
  private static final long NEW_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** A process that has just started knows all limits within this time. */
  private static final long REPEAT_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Most limits in one heartbeat: about 35 bytes each, so 2.2 KB. */
  private static final int MAX_REPORTED = 64;

  /** More upstreams than any fleet has; reports of further ones are passed over. */
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
   * Sets the processes among which limits are dealt, this one among them; as long as there are
   * none, this process sends nothing to limited upstreams.
   */
  public void setSharers(Set<String> names, long nowNanos) {
    if (!names.equals(sharers)) {
      sharers = Set.copyOf(names);
      upstreams.values().forEach(upstream -> upstream.deal(self, sharers, nowNanos));
    }
  }

  /**
   * Takes what an answer to this process says.
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

  /** Takes what another process tells; returns what that changed. */
  public LimitChange learn(LimitReport report, long nowNanos) {
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
      added.deal(self, sharers, nowNanos);
      upstreams.put(upstream, added);
      return LimitChange.BEGUN;
    }
    LimitChange change = known.tell(limit, toldNanos, nowNanos);
    if (change != LimitChange.NONE) {
      known.deal(self, sharers, nowNanos);
    }
    return change;
  }

  /** Returns what to tell the other processes now: what has changed, and each limit at times. */
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
