package org.shoreroad.edge.relay;

import org.jspecify.annotations.Nullable;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.UpstreamService;

/**
 * Decides whether a request may be sent to another upstream after it may have run.
 *
 * <p>Used on the event loop only.
 *
 * @since 0.2
 */
final class RepeatRule {
  private final Relay relay;
  private final SendHistory sends;
  private @Nullable Route route;
  private @Nullable UpstreamService service;
  private boolean isForbidden;

  /** Creates the rule of a request that was not admitted yet and can't be repeated. */
  RepeatRule(Relay relay, SendHistory sends) {
    this.relay = relay;
    this.sends = sends;
  }

  /** Sets the route and the service of the request. */
  void admit(Route admitted, @Nullable UpstreamService admitting) {
    route = admitted;
    service = admitting;
  }

  /** Forbids repeats, because a part of an answer was sent that no other answer can continue. */
  void forbid() {
    isForbidden = true;
  }

  boolean isForbidden() {
    return isForbidden;
  }

  /** Returns true if the route permits that the request runs more than once. */
  boolean isRepeatable() {
    return route != null && route.isRepeatable();
  }

  /** Returns true if the request can be repeated. */
  boolean canRepeat() {
    return isRepeatable() && !isForbidden && sends.hasAttemptsLeft();
  }

  /** Returns true if the request can be repeated after an attempt that has failed like this. */
  boolean canRepeatAfter(AttemptFailure failure) {
    boolean hasRun = failure != AttemptFailure.REFUSED;
    return route != null
        && !isForbidden
        && (!hasRun || route.isRepeatable())
        && sends.hasAttemptsLeft();
  }

  /** Takes a repeat from the budget of the service; returns false if it has none left. */
  boolean takeFromBudget() {
    return service != null
        && relay
            .budgetOf(service.name())
            .tryRepeat(relay.nowNanos(), relay.configurationSource().processCount());
  }
}
