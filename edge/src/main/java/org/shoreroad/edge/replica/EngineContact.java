package org.shoreroad.edge.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.BoxOrder.Verb;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;

/**
 * Asks engines where they stand, and keeps what they said and which of them are silent.
 *
 * <p>A report tells the state of some hundred milliseconds ago, while the answer to an order tells
 * that it is done. So the effect of an order that was taken counts at once, and reports count again
 * when they must show it. After a loss, closing, leaving and joining then follow each other within
 * 40 ms in place of 0.7 s (from the orders in the logs of one loss, before and after). Used on the
 * event loop.
 */
final class EngineContact {
  /** Added to the age of a report: an order and a question may overtake each other. */
  private static final long REPORT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Fleet fleet;
  private final Engines engines;
  private final ReachabilityTable reach = new ReachabilityTable();
  private final Map<String, FleetBox> reports = new HashMap<>();
  private final Map<String, Long> reportsCountFromNanos = new HashMap<>();
  private Runnable onUrgentChange = () -> {};
  private Runnable onAnswer = () -> {};

  EngineContact(LongSupplier clockNanos, EventLog log, Fleet fleet, Engines engines) {
    this.clockNanos = clockNanos;
    this.log = log;
    this.fleet = fleet;
    this.engines = engines;
  }

  /** Sets what is done when the head of a replica has changed, which other processes wait for. */
  void setUrgentChangeListener(Runnable listener) {
    onUrgentChange = listener;
  }

  /** Sets what is done when a box has answered or has fallen silent. */
  void setAnswerListener(Runnable listener) {
    onAnswer = listener;
  }

  /** Returns which boxes answer. */
  ReachabilityTable reach() {
    return reach;
  }

  /** Forgets a box: it is gone, or has started again. */
  void forget(String id) {
    reach.forget(id);
    reportsCountFromNanos.remove(id);
    reports.remove(id);
  }

  /** Forgets all other boxes: they are gone. */
  void retain(Set<String> ids) {
    reach.retain(ids);
    reportsCountFromNanos.keySet().retainAll(ids);
  }

  /** Returns what is newly known of boxes; the next call returns only later reports. */
  List<FleetBox> takeReports() {
    List<FleetBox> taken = List.copyOf(reports.values());
    reports.clear();
    return taken;
  }

  /** Asks a box, unless it was asked within the interval or an answer is awaited. */
  void ask(FleetBox box, long intervalNanos, long nowNanos) {
    if (!reach.isDue(box.id(), intervalNanos, nowNanos)) {
      return;
    }
    reach.recordAsked(box.id(), nowNanos);
    engines.requestReport(
        box,
        new Engines.ReportCallback() {
          @Override
          public void onReport(FleetBox newest) {
            reach.recordReport(box.id(), nowNanos);
            if (reportsCount(box.id(), nowNanos)) {
              takeAnswer(box, newest);
            }
            onAnswer.run();
          }

          @Override
          public void onFailure(Engines.ReportFailure silence) {
            log.write("box_silent", "box", box.id(), "address", box.address(), "why", silence);
            recordSilence(box.id(), silence);
            onAnswer.run();
          }
        });
  }

  /** Returns true if a report that is asked for now shows the effect of the last order. */
  boolean reportsCount(String id, long nowNanos) {
    return nowNanos >= reportsCountFromNanos.getOrDefault(id, Long.MIN_VALUE);
  }

  /** Takes over what an order does to a box that has said that it carries the order out. */
  void noteTaken(BoxOrder order, int reportLagMs) {
    FleetBox box = fleet.find(order.boxId());
    boolean takesTime = order.verb() == Verb.OPEN || order.verb() == Verb.STAGE;
    if (box == null || takesTime) {
      return;
    }
    long lagNanos = TimeUnit.MILLISECONDS.toNanos(reportLagMs) + REPORT_MARGIN_NANOS;
    reportsCountFromNanos.put(box.id(), clockNanos.getAsLong() + lagNanos);
    take(withEffect(box, order));
    onAnswer.run();
  }

  private static FleetBox withEffect(FleetBox box, BoxOrder order) {
    Membership membership = box.membership();
    switch (order.verb()) {
      case JOIN -> {
        int rank = order.members().indexOf(box.id());
        Membership joining = new Membership(order.replica(), rank, MemberState.JOINING);
        return box.withEngineState(null, box.stagedModels(), joining);
      }
      case LEAVE -> {
        return box.withEngineState(null, box.stagedModels(), null);
      }
      case CLOSE_AFTER_WORK -> {
        boolean isOpen = membership != null && membership.state() == MemberState.OPEN;
        return isOpen ? withState(box, membership, MemberState.CLOSING) : box;
      }
      case CLOSE_NOW -> {
        boolean isServing = membership != null && membership.state().isServing();
        return isServing ? withState(box, membership, MemberState.READY) : box;
      }
      default -> {
        return box;
      }
    }
  }

  private static FleetBox withState(FleetBox box, Membership membership, MemberState state) {
    Membership changed = new Membership(membership.replica(), membership.rank(), state);
    return box.withEngineState(box.model(), box.stagedModels(), changed);
  }

  /**
   * Takes a report. If another incarnation than the asked one is known by now, the report may be
   * older than that, and does not count if it is of a third one.
   */
  private void takeAnswer(FleetBox asked, FleetBox newest) {
    FleetBox known = fleet.find(asked.id());
    boolean isAskedOne = known != null && known.bornMs() == asked.bornMs();
    if (isAskedOne || known == null || !newest.isOtherIncarnationOf(known)) {
      take(newest);
    }
  }

  private void take(FleetBox newest) {
    FleetBox before = fleet.find(newest.id());
    if (!fleet.update(newest)) {
      return;
    }
    logReport(newest);
    reports.put(newest.id(), newest);
    if (newest.isHead() || (before != null && before.isHead())) {
      onUrgentChange.run();
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

  private void recordSilence(String id, Engines.ReportFailure silence) {
    boolean isRefused = silence == Engines.ReportFailure.REFUSED;
    FleetBox known = fleet.find(id);
    // A box that is to stay and does not listen has crashed; one that leaves may still be at work.
    boolean isToStay = known != null && !known.isLeaving() && fleet.isListed(id);
    boolean isGone = silence == Engines.ReportFailure.GONE || (isRefused && isToStay);
    reach.recordSilence(id, isGone, isRefused, clockNanos.getAsLong());
  }
}
