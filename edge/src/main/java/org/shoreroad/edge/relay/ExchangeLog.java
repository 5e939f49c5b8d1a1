package org.shoreroad.edge.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.caller.CallerRequest;
import org.shoreroad.quarantine.RequestFingerprint;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.TrafficConfig;

/**
 * Writer of the log lines on one request. Each line has the data on which the decision was based.
 * Used on the event loop only.
 */
final class ExchangeLog {
  private static final long NO_VERSION = -1;
  private static final long NO_EVENT = -1;
  private static final long NO_ANSWER = -1;

  private final Relay relay;
  private final CallerRequest request;
  private final RequestReader reader;
  private final SendHistory sends;
  private final List<String> failures = new ArrayList<>();
  private @Nullable Route route;
  private @Nullable ClientAccount account;
  private long admittedVersion = NO_VERSION;

  ExchangeLog(Relay relay, CallerRequest request, RequestReader reader, SendHistory sends) {
    this.relay = relay;
    this.request = request;
    this.reader = reader;
    this.sends = sends;
  }

  /** Sets the result of the admission, which all later lines include. */
  void setAdmission(Admission admission) {
    route = admission.route();
    account = admission.account();
    admittedVersion = configVersion();
  }

  /**
   * Writes a line.
   *
   * @param event the name of the event, not null
   * @param eventFields names and values in turn of the fields that belong to this event only
   */
  void write(String event, Object... eventFields) {
    long heldMs = TimeUnit.NANOSECONDS.toMillis(relay.nowNanos() - request.arrivedNanos());
    List<Object> fields = new ArrayList<>(List.of("request", reader.attemptId()));
    fields.addAll(Arrays.asList(eventFields));
    fields.addAll(List.of("route", route == null ? "" : route.name(), "model", reader.model()));
    fields.addAll(List.of("account", account == null ? "" : account.name()));
    fields.addAll(List.of("sends", sends.sent(), "tried", sends.triedIds()));
    fields.addAll(List.of("attemptsLeft", sends.attemptsLeft()));
    fields.addAll(
        List.of("heldMs", heldMs, "configAgeMs", relay.configurationSource().configAgeMs()));
    fields.addAll(List.of("configVersion", configVersion()));
    relay.log().write(event, fields.toArray());
  }

  /**
   * Writes that the request is refused, with its priority if it has a route.
   *
   * @param why the reason of the process that grants the room, or the quarantined parts with their
   *     crashes, or an empty text
   * @param candidates the number of upstreams in each state, or an empty text
   * @param awaited the open attempts
   */
  void writeRefusal(Refusal refusal, String why, String candidates, List<String> awaited) {
    List<Object> fields = new ArrayList<>(List.of("reason", refusal.code()));
    if (!candidates.isEmpty()) {
      fields.addAll(List.of("candidates", candidates));
    }
    if (!awaited.isEmpty()) {
      fields.addAll(List.of("awaited", awaited));
    }
    if (!why.isEmpty()) {
      fields.addAll(List.of("why", why));
    }
    if (route != null) {
      fields.addAll(List.of("priority", RequestReader.rank(route, account)));
    }
    write("request_refused", fields.toArray());
  }

  private long configVersion() {
    TrafficConfig config = relay.configurationSource().config();
    return config == null ? NO_VERSION : config.version();
  }

  /**
   * Writes that an attempt failed.
   *
   * @param fingerprint the fingerprint of the request, which is the same when its caller sends it
   *     again, or null if this attempt crashed no upstream
   */
  void writeFailure(
      Attempt failed, AttemptFailure failure, @Nullable RequestFingerprint fingerprint) {
    Target target = failed.target();
    failures.add(target.box().id() + ":" + failure);
    write(
        "attempt_failed",
        "end",
        failure,
        "upstream",
        target.box().id(),
        "bornMs",
        target.box().bornMs(),
        "replica",
        String.valueOf(target.replicaName()),
        "hadHead",
        failed.hasHead(),
        "writingMs",
        writingMs(failed),
        "parts",
        fingerprint == null ? Set.of() : reader.sharedPartIds(),
        "cause",
        failed.failureCause() == null ? "" : failed.failureCause().code(),
        "fingerprint",
        fingerprint == null ? "" : fingerprint);
  }

  private static long writingMs(Attempt attempt) {
    long writingNanos = attempt.progress().writingNanos();
    return writingNanos < 0 ? NO_ANSWER : TimeUnit.NANOSECONDS.toMillis(writingNanos);
  }

  /**
   * Writes that an answer which has begun ends before it is complete.
   *
   * @param events the relay of the stream, or null if none has begun
   * @param endNanos the deadline of the request, on the steady clock
   */
  void writeCut(String reason, @Nullable EventRelay events, long endNanos) {
    long nowNanos = relay.nowNanos();
    write(
        "answer_cut",
        "reason",
        reason,
        "lastEvent",
        events == null ? NO_EVENT : events.lastId(),
        "silentMs",
        events == null ? NO_EVENT : events.timing().silentMs(nowNanos),
        "leftMs",
        TimeUnit.NANOSECONDS.toMillis(endNanos - nowNanos),
        "admittedVersion",
        admittedVersion,
        "ends",
        failures,
        "isStopping",
        relay.isRefusingNew());
  }

  /** Writes and counts that a completed stream missed a latency target of its route. */
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
