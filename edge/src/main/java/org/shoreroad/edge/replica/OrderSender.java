package org.shoreroad.edge.replica;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.replica.Engines.OrderOutcome;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StateOrigin;
import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.BoxOrder.Verb;
import org.shoreroad.fleet.DomainReconciler;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Membership;

/**
 * Sender of orders to engines: applies their outcomes, and logs each with the state on which it was
 * decided. Not thread-safe: used on the event loop.
 */
final class OrderSender {
  private static final long UNKNOWN_AGE_MS = -1;

  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Fleet fleet;
  private final Engines engines;
  private final EngineMonitor monitor;

  OrderSender(
      LongSupplier clockNanos, EventLog log, Fleet fleet, Engines engines, EngineMonitor monitor) {
    this.clockNanos = clockNanos;
    this.log = log;
    this.fleet = fleet;
    this.engines = engines;
    this.monitor = monitor;
  }

  /**
   * Sends an order, unless the box is no longer known.
   *
   * @param fence the fencing number of the lease of the domain
   * @param reportLagMs the age of the state in a report of the engine, in milliseconds
   */
  void send(DomainReconciler reconciler, BoxOrder order, long fence, int reportLagMs) {
    FleetBox box = fleet.find(order.boxId());
    if (box == null) {
      return;
    }
    if (order.verb() == Verb.JOIN) {
      logBasis(order, box);
    }
    long sentNanos = clockNanos.getAsLong();
    engines.order(
        box,
        order,
        fence,
        outcome -> {
          FleetBox now = fleet.find(order.boxId());
          if (now == null || now.isOtherIncarnationOf(box)) {
            log.write("order_of_former_incarnation", "box", order.boxId(), "outcome", outcome);
            return;
          }
          logOutcome(order, fence, outcome, now, sentNanos);
          if (outcome == OrderOutcome.TAKEN) {
            reconciler.recordAccepted(order, clockNanos.getAsLong());
            monitor.applyAccepted(order, reportLagMs);
          } else if (outcome == OrderOutcome.NOT_FITTING) {
            reconciler.recordRejected(order, clockNanos.getAsLong());
          }
        });
  }

  /** Logs the known state of a box that joins, and of the head of its former replica. */
  private void logBasis(BoxOrder order, FleetBox box) {
    Membership former = box.membership();
    String headId = former == null ? null : former.replica().headId();
    FleetBox head = headId == null ? null : fleet.find(headId);
    log.write(
        "join_basis",
        "box",
        box.id(),
        "replica",
        String.valueOf(order.replica()),
        "membership",
        String.valueOf(former),
        "source",
        sourceOf(box.id()),
        "ageMs",
        ageMs(box.id()),
        "formerHead",
        String.valueOf(headId),
        "headMembership",
        String.valueOf(head == null ? null : head.membership()),
        "headSource",
        sourceOf(headId),
        "headAgeMs",
        ageMs(headId));
  }

  private String sourceOf(@Nullable String id) {
    StateOrigin origin = id == null ? null : fleet.stateOrigin(id);
    return origin == null ? "unknown" : origin.source().name();
  }

  private long ageMs(@Nullable String id) {
    StateOrigin origin = id == null ? null : fleet.stateOrigin(id);
    return origin == null
        ? UNKNOWN_AGE_MS
        : TimeUnit.NANOSECONDS.toMillis(clockNanos.getAsLong() - origin.observedNanos());
  }

  private void logOutcome(
      BoxOrder order, long fence, OrderOutcome outcome, FleetBox box, long sentNanos) {
    log.write(
        "box_order",
        "box",
        order.boxId(),
        "verb",
        order.verb(),
        "replica",
        String.valueOf(order.replica()),
        "model",
        String.valueOf(order.model()),
        "reason",
        order.reason(),
        "fence",
        fence,
        "outcome",
        outcome,
        "elapsedMs",
        TimeUnit.NANOSECONDS.toMillis(clockNanos.getAsLong() - sentNanos),
        "knownMembership",
        String.valueOf(box.membership()));
  }
}
