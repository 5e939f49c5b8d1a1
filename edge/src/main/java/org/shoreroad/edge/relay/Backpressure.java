package org.shoreroad.edge.relay;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.limit.FleetLimits;
import org.shoreroad.limit.LimitChange;
import org.shoreroad.limit.LimitReport;
import org.shoreroad.limit.RequestLimit;
import org.shoreroad.limit.RestTime;
import org.shoreroad.limit.UpstreamRests;

/**
 * Applies the backpressure signals of upstreams: request limits, rests and announced shutdowns, and
 * the gates for cold upstreams and evacuated zones.
 *
 * <p>Limits come from the answers to this process and from the reports of other processes. A rest
 * is a time without requests that an upstream demands with {@code Retry-After} when it rejects a
 * request of this process. An announced shutdown is passed on to the list of upstreams. Limits and
 * rests are checked before each request is sent. Used on the event loop.
 *
 * @since 0.2
 */
public final class Backpressure {
  private static final String LEAVING = "1";

  private final FleetLimits limits;
  private final UpstreamRests rests = new UpstreamRests();
  private final HeaderNames headers;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final RelayCounters counters;
  private @Nullable ColdGate coldGate;
  private @Nullable ZoneGate zoneGate;
  private Runnable limitListener = () -> {};
  private Consumer<Incarnation> leavingListener = upstream -> {};

  /**
   * Creates an instance without limits and rests.
   *
   * @param self the name of this process, not null
   * @param headers the names of the headers that carry the signals, not null
   */
  public Backpressure(
      String self,
      HeaderNames headers,
      LongSupplier clockNanos,
      EventLog log,
      RelayCounters counters) {
    this.limits = new FleetLimits(self);
    this.headers = headers;
    this.clockNanos = clockNanos;
    this.log = log;
    this.counters = counters;
  }

  /**
   * Sets the callback that is run when an answer names a limit that is new to this process, so that
   * the other processes receive it soon.
   */
  public void setLimitListener(Runnable limitListener) {
    this.limitListener = limitListener;
  }

  /** Sets the callback for an upstream whose answer announces that it is about to shut down. */
  public void setLeavingListener(Consumer<Incarnation> leavingListener) {
    this.leavingListener = leavingListener;
  }

  /** Sets the gates for cold upstreams and for upstreams in evacuated zones. */
  public void setGates(ColdGate newColdGate, ZoneGate newZoneGate) {
    coldGate = newColdGate;
    zoneGate = newZoneGate;
  }

  /** Sets the processes that share each limit, including this one; may be empty. */
  public void setSharers(Set<String> names) {
    limits.setSharers(names, clockNanos.getAsLong());
  }

  /** Returns the limit reports that are due to be sent to the other processes. */
  public List<LimitReport> reports() {
    return limits.reports(clockNanos.getAsLong());
  }

  /**
   * Applies the reports of another process; returns true if one sets a limit on an unlimited
   * upstream.
   */
  public boolean applyReports(Collection<LimitReport> reports) {
    boolean hasBegun = false;
    for (LimitReport report : reports) {
      LimitChange change = limits.applyReport(report, clockNanos.getAsLong());
      writeChange(change, report.upstream(), report.limit(), "peer");
      hasBegun |= change == LimitChange.BEGUN;
    }
    return hasBegun;
  }

  /** Returns the number of limited upstreams. */
  public int limitedCount() {
    return limits.limitedCount();
  }

  /**
   * Applies the backpressure signals in an answer.
   *
   * @param upstream the upstream that answered, not null
   * @param head the head of the answer, not null
   * @param sentNanos the time on the steady clock at which the request was sent
   */
  void recordAnswer(Incarnation upstream, HttpResponse head, long sentNanos) {
    String limit = head.headers().get(headers.limit());
    // An answer that does not echo the attempt id does not end a limit.
    if (limit != null || head.headers().contains(headers.attemptId())) {
      recordLimit(upstream, limit, sentNanos);
    }
    if (LEAVING.equals(head.headers().get(headers.leaving()))) {
      leavingListener.accept(upstream);
    }
    String rest = head.headers().get(HttpHeaderNames.RETRY_AFTER);
    if (rest != null && head.status().equals(HttpResponseStatus.SERVICE_UNAVAILABLE)) {
      recordRest(upstream, rest);
    }
  }

  private void recordLimit(Incarnation upstream, @Nullable String text, long sentNanos) {
    RequestLimit limit = null;
    if (text != null) {
      limit = RequestLimit.parse(text).orElse(null);
      if (limit == null) {
        // An unreadable limit neither sets nor ends a limit.
        counters.count("shoreroad.upstreams.unreadable_requests", "limit");
        return;
      }
    }
    LimitChange change = limits.recordAnswer(upstream, limit, sentNanos, clockNanos.getAsLong());
    writeChange(change, upstream, limit, "answer");
    if (change == LimitChange.BEGUN) {
      limitListener.run();
    }
  }

  private void recordRest(Incarnation upstream, String text) {
    RestTime rest = RestTime.parse(text).orElse(null);
    if (rest == null) {
      counters.count("shoreroad.upstreams.unreadable_requests", "rest");
      return;
    }
    rests.begin(upstream, rest, clockNanos.getAsLong());
    counters.count("shoreroad.upstreams.rests", "asked");
    log.write(
        "upstream_rest",
        "upstream",
        upstream.id(),
        "bornMs",
        upstream.bornMs(),
        "seconds",
        rest.seconds());
  }

  /** Returns true if a limit of the upstream is in force, or if it is or has just been cold. */
  boolean isLimited(Incarnation upstream) {
    return limits.isLimited(upstream) || (coldGate != null && coldGate.isLimited(upstream));
  }

  /** Returns true if a turn for a cold upstream is missing. */
  boolean isHeldBackByCold(FleetBox upstream) {
    return coldGate != null && !coldGate.hasTurn(upstream);
  }

  /**
   * Returns true if no request may be sent to the upstream because its zone, or that of another
   * member of its replica, is evacuated. Checked again right before the first byte is sent.
   */
  boolean isEvacuated(FleetBox upstream) {
    return zoneGate != null && zoneGate.isClosed(upstream);
  }

  /**
   * Returns true if nothing forbids sending the upstream a request now: no rest, limit, coldness or
   * evacuation.
   */
  boolean maySendTo(FleetBox upstream) {
    if (isHeldBackByCold(upstream) || isEvacuated(upstream)) {
      return false;
    }
    if (limits.isEmpty() && rests.isEmpty()) {
      return true;
    }
    Incarnation incarnation = upstream.incarnation();
    long nowNanos = clockNanos.getAsLong();
    return !rests.isResting(incarnation, nowNanos) && limits.hasTurn(incarnation, nowNanos);
  }

  /** Returns true if the upstream is in a rest. */
  boolean isResting(Incarnation upstream) {
    return rests.isResting(upstream, clockNanos.getAsLong());
  }

  /**
   * Takes a turn, the permission to send one request under a limit or to a cold upstream.
   *
   * @return false if the upstream is limited and no turn is due
   */
  boolean takeTurn(Incarnation upstream) {
    if (coldGate != null && !coldGate.takeTurn(upstream)) {
      counters.count("shoreroad.attempts.to_cold", "withdrawn");
      return false;
    }
    return takeLimitTurn(upstream);
  }

  /** Takes a turn as {@link #takeTurn}, for a request that needs none at a cold upstream. */
  boolean takeLimitTurn(Incarnation upstream) {
    boolean hasTurn = limits.takeTurn(upstream, clockNanos.getAsLong());
    if (limits.isLimited(upstream)) {
      counters.count("shoreroad.attempts.to_limited", hasTurn ? "sent" : "withdrawn");
    }
    return hasTurn;
  }

  /**
   * Returns true if the pace of requests to a cold upstream permits one at this moment, and counts
   * it as sent. Called right before the first byte is sent.
   */
  boolean confirmSend(Incarnation upstream) {
    if (coldGate == null || !coldGate.isLimited(upstream)) {
      return true;
    }
    return countCold(coldGate.confirmSend(upstream));
  }

  /** Returns true as {@link #confirmSend}, for a request under a grant. */
  boolean confirmGranted(Incarnation upstream) {
    if (coldGate == null || !coldGate.isLimited(upstream)) {
      return true;
    }
    return countCold(coldGate.permitsGranted(upstream));
  }

  private boolean countCold(boolean isPermitted) {
    counters.count("shoreroad.attempts.to_cold", isPermitted ? "sent" : "withdrawn");
    return isPermitted;
  }

  /**
   * Returns true if a request under a grant may still be sent. It needs no turn of this process,
   * since the process that grants requests at a cold upstream paces them, once it has evidence of
   * the coldness.
   */
  boolean permitsGranted(FleetBox upstream) {
    Incarnation incarnation = upstream.incarnation();
    return !isEvacuated(upstream)
        && !isResting(incarnation)
        && (coldGate == null || coldGate.permitsGranted(incarnation))
        && limits.hasTurn(incarnation, clockNanos.getAsLong());
  }

  /** Returns true if the owner of the upstream's domain may grant requests there. */
  boolean mayGrant(FleetBox upstream) {
    return !limits.isLimited(upstream.incarnation()) && permitsGranted(upstream);
  }

  /** Returns the requests per second that may be granted at the upstream; infinite if warm. */
  double grantsPerSecond(FleetBox upstream) {
    return coldGate == null ? Double.POSITIVE_INFINITY : coldGate.grantsPerSecond(upstream);
  }

  private void writeChange(
      LimitChange change, Incarnation upstream, @Nullable RequestLimit limit, String source) {
    if (change == LimitChange.NONE) {
      return;
    }
    log.write(
        limit == null ? "upstream_limit_ended" : "upstream_limit",
        "upstream",
        upstream.id(),
        "bornMs",
        upstream.bornMs(),
        "perSecond",
        limit == null ? "" : limit.perSecond(),
        "by",
        source);
  }
}
