package org.shoreroad.edge.replica;

import org.shoreroad.fleet.BoxOrder;
import org.shoreroad.fleet.FleetBox;

/**
 * Client of the engines that run on the boxes: requests their status and sends them orders.
 *
 * <p>Used on the event loop, on which the callbacks are called too.
 *
 * @since 0.2
 */
public interface Engines {
  /** Requests a status report from an engine. */
  void requestReport(FleetBox box, ReportCallback callback);

  /**
   * Sends an order to an engine.
   *
   * @param fence the fencing number; an engine that has seen a higher one refuses
   */
  void order(FleetBox box, BoxOrder order, long fence, OrderCallback callback);

  /** Receives the result of a report request. */
  interface ReportCallback {
    /** Called with the box in the state that its engine reported. */
    void onReport(FleetBox newest);

    /** Called if the engine did not answer. */
    void onFailure(ReportFailure failure);
  }

  /** Receives the outcome of an order. */
  @FunctionalInterface
  interface OrderCallback {
    /** Called once with the outcome. */
    void onOutcome(OrderOutcome outcome);
  }

  /** Reason why an engine did not report. */
  enum ReportFailure {
    /** No answer arrived in time. */
    NO_ANSWER,
    /** The connection was refused: the upstream crashed, or leaves and finishes its requests. */
    REFUSED,
    /** Another upstream, or another incarnation, answers at the address. */
    GONE
  }

  /** Outcome of an order. */
  enum OrderOutcome {
    /** The engine has begun to carry out the order, or had done so before. */
    TAKEN,
    /** The order does not fit the engine's state. */
    NOT_FITTING,
    /** The engine has seen a higher fencing number or a later formation. */
    OUTDATED,
    /** Another upstream, or another incarnation, answers at the address. */
    ELSEWHERE,
    /** No answer: the order may still be carried out, even much later. */
    UNANSWERED
  }
}
