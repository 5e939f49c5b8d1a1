package org.shoreroad.edge.replica;

import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.FleetBox;

/**
 * The engines of boxes, as far as this system asks and orders them. Callbacks come on the event
 * loop.
 *
 * @since 0.2
 */
public interface Engines {
  /** Asks an engine where it stands. */
  void requestReport(FleetBox box, ReportCallback callback);

  /**
   * Gives an engine an order.
   *
   * @param fence the fencing number; an engine that has seen a higher one refuses
   */
  void order(FleetBox box, BoxOrder order, long fence, OrderCallback callback);

  /** Hears what an engine says of itself. */
  interface ReportCallback {
    /** Tells the box with its engine's newest report. */
    void onReport(FleetBox newest);

    /** Tells that it did not answer. */
    void onFailure(ReportFailure silence);
  }

  /** Hears how an order was taken. */
  @FunctionalInterface
  interface OrderCallback {
    /** Tells the outcome. */
    void onOutcome(OrderOutcome outcome);
  }

  /** Why an engine did not answer. */
  enum ReportFailure {
    /** Nothing came in time. */
    NO_ANSWER,
    /** Nobody listens at the address: the upstream has crashed, or leaves and ends what it has. */
    REFUSED,
    /** Another upstream, or another incarnation, answers at the address. */
    GONE
  }

  /** How an order was taken. */
  enum OrderOutcome {
    /** Begun, or done already. */
    TAKEN,
    /** It does not fit the engine's state. */
    NOT_FITTING,
    /** A higher fencing number, or a later formation, was seen there. */
    OUTDATED,
    /** Another upstream, or another incarnation, answers at the address. */
    ELSEWHERE,
    /** No answer: it may be carried out, also much later. */
    UNANSWERED
  }
}
