package org.shoreroad.edge.relay;

import org.shoreroad.quarantine.CrashSuspicion;

/**
 * Records how the attempts of one request ended without an answer that can be forwarded: for the
 * log, for the counters, and for the search for upstreams that have ended. Used on the event loop.
 */
final class FailureRecorder {
  private final Relay relay;
  private final ExchangeLog log;
  private final RequestGuard guard;

  FailureRecorder(Relay relay, ExchangeLog log, RequestGuard guard) {
    this.relay = relay;
    this.log = log;
    this.guard = guard;
  }

  /** Records that an attempt failed. */
  void record(Attempt failed, AttemptFailure failure) {
    relay.counters().count("shoreroad.attempts.failed", failure.code());
    CrashSuspicion.Kind kind = failure.suspicion();
    log.writeFailure(failed, failure, kind == null ? null : guard.fingerprint());
    if (kind != null) {
      guard.suspect(failed, kind);
    }
  }

  /** Records which upstreams were silent until the request was given up. */
  void recordUnanswered(OpenAttempts attempts) {
    attempts.stream()
        .filter(attempt -> attempt.isSent() && !attempt.hasHead())
        .forEach(attempt -> guard.suspect(attempt, CrashSuspicion.Kind.UNANSWERED));
  }
}
