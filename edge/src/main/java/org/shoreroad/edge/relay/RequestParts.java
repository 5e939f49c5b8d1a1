package org.shoreroad.edge.relay;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.quarantine.PromptPart;
import org.shoreroad.traffic.UpstreamService;

/**
 * The shared prompt parts of one request, and whether their quarantine forbids to send it. Used on
 * the event loop only.
 */
final class RequestParts {
  private final PartGuard guard;
  private final RequestReader reader;
  private final SendHistory sends;
  private @Nullable UpstreamService service;
  private @Nullable Set<PromptPart> shared;
  private boolean isTrial;

  RequestParts(PartGuard guard, RequestReader reader, SendHistory sends) {
    this.guard = guard;
    this.reader = reader;
    this.sends = sends;
  }

  /**
   * Sets the service, by the admission of the request, and lets the request be the trial of a
   * quarantined part if one is due.
   */
  void admit(@Nullable UpstreamService admitting) {
    service = admitting;
    isTrial = findQuarantined().filter(guard::takeTrial).isPresent();
  }

  /** Returns the parts, which are read on first use. */
  Set<PromptPart> shared() {
    Set<PromptPart> known = shared;
    if (known == null) {
      UpstreamService admitting = service;
      known =
          admitting == null
              ? Set.of()
              : PromptPart.allOf(admitting.name(), reader.model(), reader.sharedPartIds());
      shared = known;
    }
    return known;
  }

  /** Returns true if a part forbids to send the request; a trial may be sent once. */
  boolean isSendingForbidden() {
    boolean isTrialOpen = isTrial && !sends.mayHaveRun() && sends.sent() == 0;
    return !isTrialOpen && findQuarantined().isPresent();
  }

  /** Returns true if the request is to end, since all of these parts are quarantined now. */
  boolean isEndedBy(Set<PromptPart> group) {
    return !isTrial && shared().containsAll(group);
  }

  /** Returns the quarantined parts because of which the request is refused. */
  Optional<Set<PromptPart>> findQuarantined() {
    return guard.findQuarantined(this::shared);
  }

  /** Returns the upstreams that crashed under the parts, in the form for log lines. */
  List<String> describeCrashes(Set<PromptPart> group) {
    return guard.describe(group);
  }

  /** Records that an upstream has answered the request, or has been for long enough. */
  void recordAnswer() {
    guard.recordAnswer(this::shared);
  }
}
