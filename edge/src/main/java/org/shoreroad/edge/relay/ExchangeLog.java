package org.shoreroad.edge.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.caller.CallerRequest;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.TrafficConfig;

/**
 * Log lines on one request: what happened, and all that the decision was based on. Used on the
 * event loop only.
 */
final class ExchangeLog {
  private final Relay relay;
  private final CallerRequest request;
  private final RequestReader reader;
  private final SendHistory sends;
  private @Nullable Route route;
  private @Nullable ClientAccount account;

  ExchangeLog(Relay relay, CallerRequest request, RequestReader reader, SendHistory sends) {
    this.relay = relay;
    this.request = request;
    this.reader = reader;
    this.sends = sends;
  }

  /** Sets what the admission has found, for all lines from now on. */
  void setAdmission(Admission admission) {
    route = admission.route();
    account = admission.account();
  }

  /**
   * Writes a line.
   *
   * @param event the name of the event, not null
   * @param what names and values of the fields that only this line has, in turn
   */
  void write(String event, Object... what) {
    long heldMs = TimeUnit.NANOSECONDS.toMillis(relay.nowNanos() - request.arrivedNanos());
    TrafficConfig config = relay.freshness().config();
    List<Object> fields = new ArrayList<>(List.of("request", reader.attemptId()));
    fields.addAll(Arrays.asList(what));
    fields.addAll(List.of("route", route == null ? "" : route.name(), "model", reader.model()));
    fields.addAll(List.of("account", account == null ? "" : account.name()));
    fields.addAll(List.of("sends", sends.sent(), "tried", sends.triedIds()));
    fields.addAll(List.of("attemptsLeft", sends.left()));
    fields.addAll(List.of("heldMs", heldMs, "configAgeMs", relay.freshness().configAgeMs()));
    fields.addAll(List.of("configVersion", config == null ? -1 : config.version()));
    relay.log().write(event, fields.toArray());
  }

  /** Writes and counts that a stream which came to its end missed a target of its route. */
  void writeIfLate(EventTiming timing) {
    String reason = route == null ? null : timing.lateReason(route);
    if (reason != null) {
      relay.counters().count("shoreroad.answers.late", reason);
      write(
          "answer_late",
          "reason",
          reason,
          "firstMs",
          timing.firstMs(),
          "pauseMs",
          timing.longestPauseMs());
    }
  }
}
