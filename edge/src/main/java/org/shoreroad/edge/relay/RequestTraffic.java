package org.shoreroad.edge.relay;

import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.caller.CallerRequest;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.UpstreamService;

/**
 * Counts of one request: its arrival, its refusal, its answer, its late first event. Used on the
 * event loop.
 */
final class RequestTraffic {
  private final Relay relay;
  private final CallerRequest request;
  private final String model;
  private final long promptTokens;
  private @Nullable Route route;

  /** Name of the service with engines that declares the model, or null. */
  private @Nullable String service;

  RequestTraffic(Relay relay, CallerRequest request, String model, long promptTokens) {
    this.relay = relay;
    this.request = request;
    this.model = model;
    this.promptTokens = promptTokens;
  }

  /** Counts the arrival of the request, which its service and route admit. */
  void recordArrival(@Nullable UpstreamService admitting, Route admittedRoute) {
    route = admittedRoute;
    if (admitting == null) {
      return;
    }
    relay.budgetOf(admitting.name()).recordFirst(relay.nowNanos());
    TrafficMeter meter = relay.traffic();
    if (meter != null && ModelEngine.of(admitting, model) != null) {
      service = admitting.name();
      meter.recordArrival(admitting.name(), model, promptTokens);
    }
  }

  /** Counts that the request is refused. */
  void recordRefusal(Refusal refusal) {
    relay.counters().count("shoreroad.refusals", refusal.code());
    TrafficMeter meter = relay.traffic();
    if (meter != null && service != null && refusal.isForWantOfRoom()) {
      meter.recordRefusal(service, model);
    }
  }

  /** Counts a complete answer that is no stream, and records its size for its route. */
  void recordWholeAnswer(WholeAnswer answer) {
    relay.counters().count("shoreroad.answers", Integer.toString(answer.status().code()));
    relay.counters().record("shoreroad.answer", relay.nowNanos() - request.arrivedNanos());
    if (route != null) {
      relay.answerSizes().record(route.name(), answer.receivedBytes());
    }
  }

  /** Records the time to the head of the answer, which comes with the first event of a stream. */
  void recordFirstHead() {
    long heldNanos = relay.nowNanos() - request.arrivedNanos();
    relay.counters().record("shoreroad.first_head", heldNanos);
    TrafficMeter meter = relay.traffic();
    Route admitted = route;
    if (meter != null
        && service != null
        && admitted != null
        && heldNanos / 1_000_000 > admitted.targetLatencyMs()) {
      meter.recordLate(service, model);
    }
  }
}
