package org.shoreroad.edge.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.admission.GrantEnd;
import org.shoreroad.admission.RoomDecision;

/**
 * Way of a request to its next upstream: to a head where its owner grants room, or to one that this
 * process chooses on load reports, at once or after a short wait.
 *
 * <p>Owners are asked only for requests that no upstream may have run. All others, and those for
 * which an owner does not answer, go where this process chooses. Used on the event loop only.
 */
final class Dispatch implements RoomBroker.Listener {
  /** Plain upstreams complete requests about this often: three with six slots, 20 ms a request. */
  private static final int PLAIN_WAIT_MS = 20;

  /** Maximum number of asks, each of which follows a grant at a head that could not be used. */
  private static final int MAX_ASKS = 3;

  private final Exchange exchange;
  private final Relay relay;
  private final RequestTargets targets;
  private final SendHistory sends;
  private final @Nullable ModelEngine engine;
  private final long waitUntilNanos;
  private final Set<String> unusableHeads = new HashSet<>();
  private RoomBroker.@Nullable Ask ask;
  private int askCount;
  private boolean isChosenHere;
  private boolean isWaiting;

  /**
   * Creates the dispatch of an admitted request.
   *
   * @param engine the engines that run the model, or null if there are none
   * @param arrivedNanos the time on the steady clock at which the request arrived
   */
  Dispatch(
      Exchange exchange,
      Relay relay,
      RequestTargets targets,
      SendHistory sends,
      @Nullable ModelEngine engine,
      long arrivedNanos) {
    this.exchange = exchange;
    this.relay = relay;
    this.targets = targets;
    this.sends = sends;
    this.engine = engine;
    this.waitUntilNanos = arrivedNanos + waitNanos(engine);
  }

  /**
   * Returns how long a request may wait for a free slot, in nanoseconds. Engines admit and complete
   * requests between passes, so when all slots are taken, one becomes free within about a pass.
   */
  private static long waitNanos(@Nullable ModelEngine engine) {
    return (long) ((engine == null ? PLAIN_WAIT_MS : engine.fullPassMs()) * 1e6);
  }

  /**
   * Sends the request to an upstream, now or later, or refuses it.
   *
   * @param isUndecided true if it has to wait until upstreams that it has left were checked
   */
  void next(boolean isUndecided) {
    isWaiting = isUndecided;
    if (isUndecided) {
      relay.counters().count("shoreroad.requests.held", "end_check");
      relay.addWaiting(exchange);
      return;
    }
    if (!exchange.hasBegun() && targets.isWithoutPath()) {
      exchange.refuseOrFail(Refusal.NO_PATH, RetryAfter.PLACE);
      return;
    }
    RoomBroker broker = relay.roomBroker();
    if (broker != null && mayAsk() && targets.isRoomShared(broker)) {
      askCount++;
      RoomBroker.Ask next = broker.prepare(exchange.roomQuery(excludedHeads()), this);
      ask = next;
      next.send();
    } else {
      chooseHere();
    }
  }

  private Set<String> excludedHeads() {
    Set<String> excluded = new HashSet<>(sends.triedIds());
    excluded.addAll(unusableHeads);
    return excluded;
  }

  private boolean mayAsk() {
    return engine != null
        && !isChosenHere
        && askCount < MAX_ASKS
        && !sends.mayHaveRun()
        && !exchange.hasBegun()
        && !exchange.hasAttempts();
  }

  /** Tries again to send a request that waits for a slot, or until upstreams were checked. */
  void tick() {
    if (isWaiting) {
      isWaiting = false;
      exchange.send();
    }
  }

  /** Withdraws what the request waits for, because it ends. */
  void end() {
    isWaiting = false;
    RoomBroker.Ask open = ask;
    ask = null;
    if (open != null) {
      open.withdraw();
    }
  }

  @Override
  public void onGranted(RoomBroker.Grant grant) {
    ask = null;
    Optional<Target> target = exchange.maySendNow() ? targets.at(grant.headId()) : Optional.empty();
    if (target.isPresent()) {
      exchange.startAttempt(target.get(), grant);
      return;
    }
    relay.counters().count("shoreroad.room.unused", "head_unusable_here");
    unusableHeads.add(grant.headId());
    grant.end(GrantEnd.UNUSED);
    exchange.send();
  }

  @Override
  public void onRefused(RoomDecision decision, Set<String> coveredHeads) {
    ask = null;
    Set<String> unusable = new HashSet<>(unusableHeads);
    unusable.addAll(coveredHeads);
    Optional<Target> target = targets.choose(unusable);
    if (target.isPresent()) {
      relay.counters().count("shoreroad.room.unavailable", "after_refusal");
      isChosenHere = true;
      exchange.startAttempt(target.get(), null);
    } else {
      exchange.refuseRoom(decision);
    }
  }

  @Override
  public void onUnavailable() {
    ask = null;
    isChosenHere = true;
    chooseHere();
  }

  private void chooseHere() {
    Optional<Target> target = targets.choose(unusableHeads);
    if (target.isPresent()) {
      exchange.startAttempt(target.get(), null);
    } else {
      waitOrRefuse();
    }
  }

  private void waitOrRefuse() {
    if (exchange.hasAttempts()) {
      // A stalled upstream still has the request.
      return;
    }
    Refusal heldBack = targets.findHeldBack();
    // A limit or rest rarely permits the next request as soon as a slot would become free.
    boolean mayWait = heldBack == null && sends.sent() == 0 && relay.nowNanos() < waitUntilNanos;
    // A stream that has begun waits for another replica until the deadline.
    if (exchange.hasBegun() || mayWait) {
      isWaiting = true;
      relay.addWaiting(exchange);
      return;
    }
    if (heldBack != null) {
      exchange.refuseOrFail(heldBack, RetryAfter.PLACE);
      return;
    }
    boolean hasUpstreams = targets.hasAny();
    exchange.refuseOrFail(
        hasUpstreams ? Refusal.NO_PLACE : Refusal.NO_REPLICA,
        hasUpstreams ? RetryAfter.PLACE : RetryAfter.REPLICA);
  }
}
