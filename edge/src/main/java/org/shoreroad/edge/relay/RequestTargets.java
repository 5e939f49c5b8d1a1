package org.shoreroad.edge.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.traffic.UpstreamService;

/**
 * The upstreams that one request may be sent to: the untried ones of its service and, if the
 * service has engines, of its model. Used on the event loop only.
 */
final class RequestTargets {
  private final UpstreamSelector selector;
  private final @Nullable UpstreamService service;
  private final @Nullable String model;
  private final SendHistory sends;
  private final int targetLatencyMs;

  /**
   * Creates the targets of a request.
   *
   * @param service the service, or null if the configuration lacks it, which means no upstream
   * @param model the model that the request names, not null
   * @param sends the attempts so far, not null
   * @param targetLatencyMs the target time to the first event of the answer, in milliseconds
   */
  RequestTargets(
      UpstreamSelector selector,
      @Nullable UpstreamService service,
      String model,
      SendHistory sends,
      int targetLatencyMs) {
    this.selector = selector;
    this.service = service;
    this.model = service == null || service.engine() == null ? null : model;
    this.sends = sends;
    this.targetLatencyMs = targetLatencyMs;
  }

  /** Returns the best upstream that can take the request now, or empty if none can. */
  Optional<Target> choose() {
    return service == null
        ? Optional.empty()
        : selector.choose(service, model, sends.triedIds(), targetLatencyMs);
  }

  /**
   * Returns the best upstream that can take the request now, apart from some.
   *
   * @param unusable the ids of the upstreams that don't count, not null
   */
  Optional<Target> choose(Set<String> unusable) {
    if (unusable.isEmpty() || service == null) {
      return choose();
    }
    Set<String> excluded = new HashSet<>(sends.triedIds());
    excluded.addAll(unusable);
    return selector.choose(service, model, excluded, targetLatencyMs);
  }

  /** Returns the head with this id if the request may be sent there under a grant now. */
  Optional<Target> at(String headId) {
    return service == null
        ? Optional.empty()
        : selector.find(service, model, headId, sends.triedIds());
  }

  /** Returns true if the request is for a model whose heads' room is granted by their owners. */
  boolean isRoomShared(RoomBroker broker) {
    return service != null && model != null && broker.isShared(service, model);
  }

  /** Returns true if an upstream can take the request now. */
  boolean isAnyFree() {
    return choose().isPresent();
  }

  /** Returns true if there are upstreams for the request, but no path to any of them. */
  boolean isWithoutPath() {
    return service != null && selector.isWithoutPath(service, model);
  }

  /** Returns true if there is an upstream for the request, free or not. */
  boolean hasAny() {
    return service != null && selector.hasAny(service, model);
  }

  /** Returns how many upstreams are in each state for this request, for the log. */
  String describe() {
    return service == null
        ? ""
        : selector.describe(service, model, sends.triedIds(), targetLatencyMs);
  }

  /** Returns why requests to all upstreams are forbidden now, or null if they are not. */
  @Nullable Refusal findHeldBack() {
    return service == null ? null : selector.findHeldBack(service, model);
  }
}
