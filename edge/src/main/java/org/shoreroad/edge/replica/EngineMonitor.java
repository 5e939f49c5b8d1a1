package org.shoreroad.edge.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.BoxOrder.Verb;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;

/**
 * Monitor of engines: requests their status reports, collects them, and records which engines do
 * not answer.
 *
 * <p>A report shows the state of some hundred milliseconds ago, while the answer to an order shows
 * that it is done. So the effect of an accepted order on the known replica is applied at once, and
 * reports are ignored until they must show it, unless they show a later formation. After the loss
 * of a box, the orders to close, leave and join then follow each other within 40 ms instead of 0.7
 * s. Not thread-safe: used on the event loop.
 */
final class EngineMonitor {
  /** Added to the age of a report, since an order and a report request may be reordered. */
  private static final long REPORT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Fleet fleet;
  private final Engines engines;
  private final ReachabilityTable reachability = new ReachabilityTable();
  private final Map<String, FleetBox> reports = new HashMap<>();
  private final Map<String, Long> acceptReportsFromNanos = new HashMap<>();
  private Runnable onUrgentChange = () -> {};
  private Runnable onAnswer = () -> {};
  private UnreachedBoxes unreached = UnreachedBoxes.PATHS_SOUND;

  EngineMonitor(LongSupplier clockNanos, EventLog log, Fleet fleet, Engines engines) {
    this.clockNanos = clockNanos;
    this.log = log;
    this.fleet = fleet;
    this.engines = engines;
  }

  /** Sets the listener for changed heads, which other processes must receive quickly. */
  void setUrgentChangeListener(Runnable listener) {
    onUrgentChange = listener;
  }

  /** Sets the check of boxes that do not answer. */
  void setUnreachedBoxes(UnreachedBoxes check) {
    unreached = check;
  }

  /** Sets the listener that is called when a box has answered or failed to answer. */
  void setAnswerListener(Runnable listener) {
    onAnswer = listener;
  }

  /** Returns the table of the boxes that answer. */
  ReachabilityTable reachability() {
    return reachability;
  }

  /** Forgets a box that has ended or restarted. */
  void forget(String id) {
    reachability.forget(id);
    acceptReportsFromNanos.remove(id);
    reports.remove(id);
  }

  /** Forgets all other boxes, which no longer exist. */
  void retain(Set<String> ids) {
    reachability.retain(ids);
    acceptReportsFromNanos.keySet().retainAll(ids);
  }

  /** Returns the boxes with new reports; the next call returns only later ones. */
  List<FleetBox> takeReports() {
    List<FleetBox> taken = List.copyOf(reports.values());
    reports.clear();
    return taken;
  }

  /** Requests a report, unless one was requested within the interval or is still awaited. */
  void requestReport(FleetBox box, long intervalNanos, long nowNanos) {
    if (!reachability.isDue(box.id(), intervalNanos, nowNanos)) {
      return;
    }
    reachability.recordRequest(box.id(), nowNanos);
    engines.requestReport(
        box,
        new Engines.ReportCallback() {
          @Override
          public void onReport(FleetBox newest) {
            reachability.recordReport(box.id(), nowNanos);
            if (acceptsReports(box.id(), nowNanos) || fleet.showsLaterFormation(newest)) {
              acceptReport(box, newest);
            } else {
              logIgnored(newest);
            }
            onAnswer.run();
          }

          @Override
          public void onFailure(Engines.ReportFailure failure) {
            log.write("box_silent", "box", box.id(), "address", box.address(), "why", failure);
            explainFailure(box, failure, nowNanos);
          }
        });
  }

  /** Returns true if a report that is requested now shows the effect of the last order. */
  boolean acceptsReports(String id, long nowNanos) {
    return nowNanos >= acceptReportsFromNanos.getOrDefault(id, Long.MIN_VALUE);
  }

  /**
   * Applies the effect of an order that the box has accepted, if the order concerns the known state
   * of the box. An engine also accepts an order that holds already, and its answer may arrive after
   * reports that show later states.
   */
  void applyAccepted(BoxOrder order, int reportLagMs) {
    FleetBox box = fleet.find(order.boxId());
    // An opening or a load takes longer than a report is late.
    boolean isSlow = order.verb() == Verb.OPEN || order.verb() == Verb.STAGE;
    if (box == null || isSlow) {
      return;
    }
    FleetBox after = withEffect(box, order);
    long lagNanos = TimeUnit.MILLISECONDS.toNanos(reportLagMs) + REPORT_MARGIN_NANOS;
    long shownFromNanos = clockNanos.getAsLong() + lagNanos;
    if (after != null && fleet.updateByOrder(after)) {
      acceptReportsFromNanos.put(box.id(), shownFromNanos);
      publish(box, after);
    } else if (order.verb() == Verb.JOIN && box.membership() == null) {
      // The engine may have carried it out after the order to leave.
      reachability.confirmFrom(box.id(), shownFromNanos);
    }
    onAnswer.run();
  }

  /** Returns the box after the order, or null if the order does not change its known state. */
  private @Nullable FleetBox withEffect(FleetBox box, BoxOrder order) {
    if (order.verb() == Verb.JOIN) {
      int rank = order.members().indexOf(box.id());
      Membership joining = new Membership(order.replica(), rank, MemberState.JOINING);
      FleetBox after = box.withEngineState(null, box.stagedModels(), joining);
      return fleet.showsLaterFormation(after) ? after : null;
    }
    Membership membership = box.membership();
    if (membership == null || !membership.replica().equals(order.replica())) {
      return null;
    }
    MemberState state = membership.state();
    return switch (order.verb()) {
      case LEAVE -> box.withEngineState(null, box.stagedModels(), null);
      case CLOSE_AFTER_WORK ->
          state == MemberState.OPEN ? withState(box, membership, MemberState.CLOSING) : null;
      case CLOSE_NOW -> state.isServing() ? withState(box, membership, MemberState.READY) : null;
      default -> null;
    };
  }

  private static FleetBox withState(FleetBox box, Membership membership, MemberState state) {
    Membership changed = new Membership(membership.replica(), membership.rank(), state);
    return box.withEngineState(box.model(), box.stagedModels(), changed);
  }

  /**
   * Applies a report. If the known incarnation is no longer the one that was asked, the report may
   * be older than it, so a report of any other incarnation is ignored.
   */
  private void acceptReport(FleetBox asked, FleetBox newest) {
    FleetBox known = fleet.find(asked.id());
    boolean isAskedIncarnation = known != null && known.bornMs() == asked.bornMs();
    if (isAskedIncarnation || known == null || !newest.isOtherIncarnationOf(known)) {
      applyReport(newest);
    }
  }

  private void applyReport(FleetBox newest) {
    FleetBox previous = fleet.find(newest.id());
    if (fleet.update(newest)) {
      publish(previous, newest);
    }
  }

  /** Logs a changed state and keeps it for the other processes. */
  private void publish(@Nullable FleetBox previous, FleetBox newest) {
    logReport(newest);
    reports.put(newest.id(), newest);
    if (newest.isHead() || (previous != null && previous.isHead())) {
      onUrgentChange.run();
    }
  }

  /** Logs a report that is ignored because it may be older than an order, if it contradicts it. */
  private void logIgnored(FleetBox report) {
    FleetBox known = fleet.find(report.id());
    if (known != null && !Objects.equals(known.membership(), report.membership())) {
      log.write(
          "report_ignored",
          "box",
          report.id(),
          "membership",
          String.valueOf(report.membership()),
          "knownMembership",
          String.valueOf(known.membership()));
    }
  }

  private void logReport(FleetBox report) {
    log.write(
        "box_word",
        "box",
        report.id(),
        "model",
        report.model(),
        "staged",
        report.stagedModels(),
        "membership",
        String.valueOf(report.membership()));
  }

  private void explainFailure(FleetBox box, Engines.ReportFailure failure, long sentNanos) {
    FleetBox known = fleet.find(box.id());
    // A refusing box that was to stay has crashed; a leaving one may still finish its requests.
    boolean isStaying = known != null && !known.isLeaving() && fleet.isListed(box.id());
    boolean isRefused = failure == Engines.ReportFailure.REFUSED;
    if (failure == Engines.ReportFailure.GONE) {
      recordFailure(box.id(), UnreachedBoxes.Cause.GONE, false);
    } else if (isRefused && isStaying) {
      unreached.explainRefusal(box, cause -> recordFailure(box.id(), cause, true));
    } else {
      unreached.explainSilence(box, sentNanos, cause -> recordFailure(box.id(), cause, isRefused));
    }
  }

  private void recordFailure(String id, UnreachedBoxes.Cause cause, boolean isRefused) {
    if (cause == UnreachedBoxes.Cause.PATH) {
      reachability.recordUnknown(id);
      return;
    }
    boolean isGone = cause == UnreachedBoxes.Cause.GONE;
    reachability.recordFailure(id, isGone, isRefused, clockNanos.getAsLong());
    onAnswer.run();
  }
}
