package org.shoreroad.edge.relay;

import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.quarantine.Crash;
import org.shoreroad.quarantine.CrashSuspicion;
import org.shoreroad.quarantine.PromptPart;
import org.shoreroad.quarantine.RequestFingerprint;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.UpstreamService;

/**
 * Whether the quarantine of one request, or of parts of its prompt, forbids to send it; passes on
 * what its attempts tell of crashes. Used on the event loop only.
 */
final class RequestGuard {
  private final Relay relay;
  private final RequestReader reader;
  private final SendHistory sends;
  private String host = "";
  private @Nullable ClientAccount account;
  private @Nullable UpstreamService service;
  private @Nullable Set<PromptPart> parts;
  private boolean isTrial;

  RequestGuard(Relay relay, RequestReader reader, SendHistory sends) {
    this.relay = relay;
    this.reader = reader;
    this.sends = sends;
  }

  /**
   * Sets the result of the admission, and lets the request be the trial of a quarantined part if
   * one is due.
   *
   * @return true if the request may be sent
   */
  boolean admit(
      Route route, @Nullable UpstreamService admitting, @Nullable ClientAccount admittedAccount) {
    host = route.host();
    service = admitting;
    account = admittedAccount;
    if (relay.quarantine().recordArrival(this::fingerprint)) {
      return false;
    }
    Optional<Set<PromptPart>> group = findQuarantinedParts();
    isTrial = group.filter(relay.partGuard()::takeTrial).isPresent();
    return isTrial || group.isEmpty();
  }

  /** Returns true if the request may be sent to an upstream; a trial may be sent once. */
  boolean maySend() {
    boolean isTrialOpen = isTrial && !sends.mayHaveRun() && sends.sent() == 0;
    return !isRequestQuarantined() && (isTrialOpen || findQuarantinedParts().isEmpty());
  }

  /** Returns true if the first byte may be sent now. */
  boolean maySendNow() {
    return maySend() && !isUndecided();
  }

  /** Returns true if the request is to wait until upstreams that it has left were checked. */
  boolean isUndecided() {
    return relay.crashMonitor().isUndecided(this::fingerprint);
  }

  /** Returns true if the request is to end because of a quarantine that begins while it is open. */
  boolean isEnded() {
    return isRequestQuarantined() || (!isTrial && findQuarantinedParts().isPresent());
  }

  /** Returns the reason for which the request may not be sent. */
  Refusal refusal() {
    return isRequestQuarantined() ? Refusal.QUARANTINED : Refusal.PART_QUARANTINED;
  }

  /** Returns the quarantined parts and the upstreams that crashed under them, for the log. */
  String describeParts() {
    return findQuarantinedParts()
        .map(group -> group + " crashed " + relay.partGuard().describe(group))
        .orElse("");
  }

  private boolean isRequestQuarantined() {
    return relay.quarantine().isQuarantined(this::fingerprint);
  }

  private Optional<Set<PromptPart>> findQuarantinedParts() {
    return relay.partGuard().findQuarantined(this::sharedParts);
  }

  /** Returns the fingerprint of the request. */
  RequestFingerprint fingerprint() {
    return reader.fingerprint(host, account);
  }

  /** Returns the parts of the prompt that other requests may share; read on first use. */
  private Set<PromptPart> sharedParts() {
    Set<PromptPart> known = parts;
    if (known == null) {
      UpstreamService admitting = service;
      known =
          admitting == null
              ? Set.of()
              : PromptPart.allOf(admitting.name(), reader.model(), reader.sharedPartIds());
      parts = known;
    }
    return known;
  }

  /** Records that an attempt has left its upstream without a proper answer. */
  void suspect(Attempt attempt, CrashSuspicion.Kind kind) {
    boolean isWellUnderWay = attempt.progress().isWellUnderWay();
    FleetBox box = attempt.target().box();
    boolean hasBegun = attempt.hasHead() || isPlain();
    Crash crash = new Crash(box.incarnation(), hasBegun && !isWellUnderWay);
    Set<PromptPart> suspectedParts = isWellUnderWay ? Set.of() : sharedParts();
    relay
        .crashMonitor()
        .suspect(box, new CrashSuspicion(fingerprint(), suspectedParts, crash, kind));
  }

  /** Returns true if no engine queues the request, so that it runs before its answer has a head. */
  private boolean isPlain() {
    UpstreamService admitting = service;
    return admitting != null && admitting.engine() == null;
  }

  /** Records what the end of an answer shows: that the request crashes no upstream, or nothing. */
  void recordAnswer(Attempt answering, boolean isSuccess) {
    if (!answering.isEndStated() && !answering.progress().isWellUnderWay()) {
      suspect(answering, CrashSuspicion.Kind.UNFRAMED);
      return;
    }
    if (!isSuccess) {
      suspect(answering, CrashSuspicion.Kind.FAILED);
      return;
    }
    relay.quarantine().recordAnswer(this::fingerprint);
    relay.partGuard().recordAnswer(this::sharedParts);
  }

  /**
   * Records which parts of the prompt an upstream has been answering for some time.
   *
   * @param attempts the open attempts of the request, not null
   * @param beingWritten receives the parts, not null
   */
  void recordWriting(OpenAttempts attempts, Set<PromptPart> beingWritten) {
    if (attempts.isAny(attempt -> attempt.progress().isWellUnderWay())) {
      relay.partGuard().recordAnswer(this::sharedParts);
    } else if (attempts.isAny(attempt -> attempt.progress().isBeingWritten())) {
      beingWritten.addAll(sharedParts());
    }
  }
}
