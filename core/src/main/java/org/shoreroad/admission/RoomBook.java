package org.shoreroad.admission;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.queue.FairQueue;
import org.shoreroad.queue.QueuedItem;

/**
 * Room at the heads of one model in the domains that a process owns: grants, requests that wait for
 * room, and their order under overload.
 *
 * <p>A request is granted the head with the earliest forecast first event if its target for the
 * first event and the targets for pauses of all streams there can be kept. Otherwise it waits if
 * enough slots are expected to become free before it would be late, given those that go first, and
 * is refused at once if not. A request that is late in any case gets room that nothing else needs.
 *
 * <p>Requests go first by priority, then if their caller was invited to return, then by the share
 * of the engines that their account holds. Less urgent requests leave the room that more urgent
 * ones are expected to need within the next pass.
 *
 * <p>Reads no clock: times are passed in, in nanoseconds of the steady clock. Numbers out of range
 * are corrected, so that they affect only their own request or head. Not thread-safe.
 *
 * @since 0.2
 */
public final class RoomBook {
  private static final int GRANT_MS = 1_500;
  private static final long GRANT_NANOS = TimeUnit.MILLISECONDS.toNanos(GRANT_MS);

  /** Interval of the search for expired grants. */
  private static final long EXPIRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

  /**
   * Share of a target that a forecast may fill. The rest is for the ways between the caller, the
   * processes and the engine, and for half a pass, by which the start of the next pass is unknown.
   */
  private static final double TARGET_SHARE = 0.85;

  /** Share of a pass in which a request that is next in order expects its slot. */
  private static final double NEXT_PASS_SHARE = 0.25;

  /** Time for which the starts at a head that is gone are kept. */
  private static final long FORMER_STARTS_NANOS = TimeUnit.MINUTES.toNanos(1);

  /** Bound for the memory of one model's requests that wait. */
  private static final int MAX_WAITING = 1_000;

  private static final HeadLoad IDLE = new HeadLoad(0, 0, 0, 1);
  private static final double NANOS_PER_MS = 1e6;

  private final EngineForecast forecast;
  private final long cacheCapacityTokens;
  private final Returns returns;
  private final AnswerLength answers;
  private final AccountUse accounts = new AccountUse();
  private final ArrivalReserve arrivals = new ArrivalReserve();
  private final Map<String, HeadRoom> heads = new LinkedHashMap<>();

  /** Starts at heads that are gone, since a cold one may soon be there again. */
  private final Map<String, StartLog> formerStarts = new HashMap<>();

  private final Map<RoomRequest.Key, Grant> grants = new HashMap<>();
  private final Map<RoomRequest.Key, QueuedItem<WaitingRequest>> waiting = new HashMap<>();
  private final FairQueue<WaitingRequest> queue = new FairQueue<>(MAX_WAITING);
  private long expiryCheckedNanos;
  private long correctedCount;

  /** Creates a book without heads. */
  public RoomBook(EngineSpec spec, ModelShape model, Returns returns) {
    forecast = EngineForecast.of(spec, model);
    cacheCapacityTokens = spec.kvCapacityTokens() > 0 ? spec.kvCapacityTokens() : Long.MAX_VALUE;
    answers = new AnswerLength(forecast);
    this.returns = Objects.requireNonNull(returns, "returns");
  }

  /** Replaces the heads; grants at heads that are gone are dropped. */
  public void setHeads(Collection<HeadState> states, long nowNanos) {
    Set<String> ids = new HashSet<>();
    for (HeadState given : states) {
      HeadState state = InputBounds.clampState(given);
      correctedCount += state == given ? 0 : 1;
      ids.add(state.id());
      HeadRoom head = heads.get(state.id());
      if (head == null) {
        head = new HeadRoom(forecast, answers, cacheCapacityTokens, state, nowNanos);
        head.continueStarts(formerStarts.remove(state.id()));
        heads.put(state.id(), head);
      }
      head.setState(state);
    }
    for (HeadRoom head : List.copyOf(heads.values())) {
      if (!ids.contains(head.state().id())) {
        List.copyOf(head.grants()).forEach(this::release);
        heads.remove(head.state().id());
        formerStarts.put(head.state().id(), head.starts());
      }
    }
    formerStarts.values().removeIf(starts -> starts.count(FORMER_STARTS_NANOS, nowNanos) == 0);
  }

  /**
   * Decides on a request for room, or lets it wait for a slot that is expected to become free in
   * time. A request that isn't final never waits. An offer of a request that was granted room
   * before returns this decision again and renews the grant.
   *
   * @param offered the request, not null
   * @param nowNanos the time on the steady clock
   * @return the decisions that follow, of this request or of one that it displaces; without one of
   *     this request it waits
   */
  public List<RoomDecision> offer(RoomRequest offered, long nowNanos) {
    Grant earlier = grants.get(offered.key());
    if (earlier != null) {
      earlier.renew(nowNanos);
      return List.of(RoomDecision.granted(offered.key(), earlier.head().state().id()));
    }
    if (waiting.containsKey(offered.key())) {
      return List.of();
    }
    RoomRequest clamped = InputBounds.clampRequest(offered);
    correctedCount += InputBounds.isCorrected(offered, clamped) ? 1 : 0;
    boolean isInvited = returns.isExpected(clamped.contentHash(), nowNanos);
    int callerAgeMs = returns.takeCallerAgeMs(clamped.contentHash(), nowNanos);
    // The target of a caller that returns counts from its first request. One that was invited has
    // its place all the same, of which there are few.
    boolean isOlder = !isInvited && callerAgeMs > clamped.ageMs();
    RoomRequest request = isOlder ? clamped.withAgeMs(callerAgeMs) : clamped;
    long budgetNanos =
        (long) ((request.targetLatencyMs() * TARGET_SHARE - request.ageMs()) * NANOS_PER_MS);
    long sharePpm = sharePpm(request);
    WaitingRequest item =
        new WaitingRequest(request, nowNanos, nowNanos + budgetNanos, sharePpm, isInvited);
    // Room is kept for arrivals, but not for those that would be late at an idle head too.
    if (forecast.firstEventMs(IDLE, request.promptTokens(), 1) <= item.budgetMs(nowNanos)) {
      arrivals.recordArrival(request.priority(), nowNanos);
    }
    List<RoomDecision> decisions = new ArrayList<>();
    expireAndAdvance(nowNanos);
    if (request.promptTokens() > cacheCapacityTokens) {
      decisions.add(refuse(item, RoomRefusal.CACHE_FULL, nowNanos));
    } else if (!isReachable(item, item.budgetMs(nowNanos))) {
      decideLate(item, RoomRefusal.TARGET_OUT_OF_REACH, nowNanos, decisions);
    } else if (queue.size() >= MAX_WAITING && !request.isFinal()) {
      // It does not wait, so it must not displace a request that does.
      decisions.add(refuse(item, RoomRefusal.TARGET_OUT_OF_REACH, nowNanos));
    } else {
      enqueue(item, nowNanos, decisions);
    }
    decide(nowNanos, decisions);
    return decisions;
  }

  /** Withdraws a request that waits, or frees the room that it was granted. */
  public List<RoomDecision> end(RoomRequest.Key key, GrantEnd end, long nowNanos) {
    QueuedItem<WaitingRequest> item = waiting.remove(key);
    if (item != null) {
      queue.removeIf(queued -> queued == item);
    }
    Grant grant = grants.get(key);
    if (grant != null) {
      HeadRoom head = grant.head();
      if (end == GrantEnd.USED && nowNanos - grant.readNanos() > 0) {
        double answerMs = (nowNanos - grant.readNanos()) / NANOS_PER_MS;
        answers.recordMeasured(answerMs / head.passMs());
      }
      release(grant);
      if (end == GrantEnd.REJECTED) {
        head.recordRejected(nowNanos);
      } else if (end != GrantEnd.UNUSED) {
        returns.recordFreed(nowNanos);
      }
    }
    return advance(nowNanos);
  }

  /**
   * Renews the grants of a process and returns the numbers of the requests that hold one. Grants
   * that are not renewed for {@link #grantMillis()} expire.
   */
  public Set<Long> renew(String holder, Set<Long> numbers, long nowNanos) {
    Set<Long> held = new HashSet<>();
    for (Long number : numbers) {
      Grant grant = grants.get(new RoomRequest.Key(holder, number));
      if (grant != null) {
        grant.renew(nowNanos);
        held.add(number);
      }
    }
    return held;
  }

  /** Returns the time after which a grant that isn't renewed expires, in milliseconds. */
  public static int grantMillis() {
    return GRANT_MS;
  }

  /** Expires grants and decides on the requests that wait, as far as that is possible now. */
  public List<RoomDecision> advance(long nowNanos) {
    List<RoomDecision> decisions = new ArrayList<>();
    expireAndAdvance(nowNanos);
    decide(nowNanos, decisions);
    return decisions;
  }

  /** Returns the number of requests that wait for room. */
  public int waitingCount() {
    return queue.size();
  }

  /** Returns the number of requests and states of heads whose numbers were out of range. */
  public long correctedCount() {
    return correctedCount;
  }

  /** Returns the number of further requests that could be granted room now, 0 or more. */
  public int freeCount(long nowNanos) {
    return Math.max(0, freePlaces(nowNanos) - queue.size());
  }

  private void expireAndAdvance(long nowNanos) {
    if (grants.isEmpty()) {
      expiryCheckedNanos = nowNanos;
    }
    if (nowNanos - expiryCheckedNanos >= EXPIRY_INTERVAL_NANOS) {
      expiryCheckedNanos = nowNanos;
      for (Grant grant : List.copyOf(grants.values())) {
        if (grant.isExpired(GRANT_NANOS, nowNanos)) {
          release(grant);
          returns.recordFreed(nowNanos);
        }
      }
    }
    heads.values().forEach(head -> head.advance(nowNanos));
  }

  /**
   * Decides on the requests that wait, in their order. A slot that isn't fit for one of them is
   * left to the next.
   */
  private void decide(long nowNanos, List<RoomDecision> decisions) {
    if (queue.size() == 0) {
      return;
    }
    List<QueuedItem<WaitingRequest>> order = queue.inOrder(accounts::sharePpm, this::goesFirst);
    RoomOutlook outlook = RoomOutlook.of(heads.values(), nowNanos);
    int free = freePlaces(nowNanos);
    int freeSlots = freeSlots(nowNanos);
    int kept = 0;
    int lessUrgent = 0;
    for (QueuedItem<WaitingRequest> queued : order) {
      WaitingRequest item = queued.value();
      boolean mayQueue = kept == 0 && mayQueue(item, outlook, nowNanos);
      int available = mayQueue ? free : freeSlots;
      boolean isKept = available <= reserve(item, outlook, nowNanos);
      HeadRoom head = null;
      RoomRefusal reason = RoomRefusal.TARGET_OUT_OF_REACH;
      if (available > 0 && isKept && !arrivals.mayTakeKept()) {
        reason = RoomRefusal.KEPT_FOR_MORE_URGENT;
      } else if (available > 0) {
        HeadChoice choice = HeadChoice.inTime(heads.values(), item, mayQueue, nowNanos);
        head = choice.head();
        reason = choice.reason();
      }
      if (head != null) {
        queue.take(queued);
        waiting.remove(item.request().key());
        decisions.add(grant(item, head, nowNanos));
        arrivals.recordGrant(isKept);
        free = freePlaces(nowNanos);
        freeSlots = freeSlots(nowNanos);
      } else if (mayWait(item, kept + 1, lessUrgent, outlook, nowNanos)) {
        kept++;
        lessUrgent += arrivals.expectedBefore(item.request().priority(), 1, nowNanos) > 0 ? 1 : 0;
      } else {
        queue.removeIf(other -> other == queued);
        waiting.remove(item.request().key());
        decideLate(item, reason, nowNanos, decisions);
      }
    }
  }

  /** Decides at once on a request that can't be in time. */
  private void decideLate(
      WaitingRequest item, RoomRefusal reason, long nowNanos, List<RoomDecision> decisions) {
    RoomOutlook outlook = RoomOutlook.of(heads.values(), nowNanos);
    int freeSlots = freeSlots(nowNanos);
    double kept = arrivals.reserve(FairQueue.PRIORITIES, outlook.passMs(), 0, nowNanos);
    boolean isRoomIdle = queue.size() == 0 && (item.isInvited() || freeSlots > kept);
    HeadRoom head = null;
    if (item.request().isFinal() && isRoomIdle && freeSlots > 0) {
      HeadChoice choice = HeadChoice.late(heads.values(), item, nowNanos);
      head = choice.head();
      reason = choice.reason();
    }
    if (head != null) {
      decisions.add(grant(item, head, nowNanos));
    } else {
      RoomRefusal stated = outlook.passMs() > 0 ? reason : RoomRefusal.NO_HEAD;
      decisions.add(refuse(item, stated, nowNanos));
    }
  }

  /** Returns true if a head with a free slot could give the first event within the time. */
  private boolean isReachable(WaitingRequest item, double budgetMs) {
    RoomRequest request = item.request();
    for (HeadRoom head : heads.values()) {
      boolean mayUse =
          head.state().isUsable() && !request.excludedHeads().contains(head.state().id());
      if (mayUse && head.firstEventWithSlotMs(request) <= budgetMs) {
        return true;
      }
    }
    return false;
  }

  /**
   * Returns true if a request may wait.
   *
   * @param slotsNeeded the number of slots that must become free first, 1 or more
   * @param lessUrgentAhead how many of those that wait ahead give way to more urgent arrivals
   */
  private boolean mayWait(
      WaitingRequest item,
      int slotsNeeded,
      int lessUrgentAhead,
      RoomOutlook outlook,
      long nowNanos) {
    if (!item.request().isFinal() || outlook.roomPerMs() <= 0) {
      return false;
    }
    // More urgent arrivals go first, except in the turns that the queue gives to the others.
    double urgentPerMs = arrivals.expectedBefore(item.request().priority(), 1, nowNanos);
    double leftPerMs = Math.max(0, outlook.roomPerMs() - urgentPerMs);
    double turnSlots = Math.max(slotsNeeded, (lessUrgentAhead + 0.5) * FairQueue.OTHERS_INTERVAL);
    double waitMs = Math.min(slotsNeeded / leftPerMs, turnSlots / outlook.roomPerMs());
    // What is next in order is not given up for a few milliseconds more.
    boolean isPatient =
        waitMs <= item.patienceMs(nowNanos) || waitMs <= outlook.passMs() * NEXT_PASS_SHARE;
    return isPatient && isReachable(item, item.budgetMs(nowNanos) - waitMs);
  }

  private RoomDecision grant(WaitingRequest item, HeadRoom head, long nowNanos) {
    RoomRequest request = item.request();
    double readMs = forecast.readMs(head.load(), request.promptTokens(), answers.meanPasses());
    long readNanos = nowNanos + (long) (readMs * NANOS_PER_MS);
    long cacheTokens = head.cacheTokens(request);
    Grant grant = new Grant(request, head, item.sharePpm(), cacheTokens, nowNanos, readNanos);
    head.add(grant);
    grants.put(request.key(), grant);
    accounts.add(request.account(), item.sharePpm());
    answers.recordExpected(request);
    if (item.isInvited()) {
      returns.recordReturned(request.contentHash());
    }
    return RoomDecision.granted(request.key(), head.state().id());
  }

  private RoomDecision refuse(WaitingRequest item, RoomRefusal reason, long nowNanos) {
    RoomRequest request = item.request();
    if (!request.isFinal()) {
      return RoomDecision.refused(request.key(), reason, 0);
    }
    if (item.isInvited()) {
      returns.recordReturned(request.contentHash());
    }
    boolean isAccount =
        reason == RoomRefusal.TARGET_OUT_OF_REACH && accounts.isOverShare(request.account());
    int waitingAhead = queue.sizeUpTo(request.priority());
    int remainingMs = item.remainingMs(nowNanos);
    returns.recordRefused(request.contentHash(), item.ageMs(nowNanos), remainingMs, nowNanos);
    int retryAfterMs = returns.invite(request.contentHash(), waitingAhead, remainingMs, nowNanos);
    return RoomDecision.refused(
        request.key(), isAccount ? RoomRefusal.ACCOUNT_OVER_SHARE : reason, retryAfterMs);
  }

  private void release(Grant grant) {
    grants.remove(grant.request().key());
    grant.head().remove(grant);
    accounts.remove(grant.request().account(), grant.sharePpm());
  }

  private void enqueue(WaitingRequest item, long nowNanos, List<RoomDecision> decisions) {
    RoomRequest request = item.request();
    QueuedItem<WaitingRequest> queued =
        new QueuedItem<>(
            item, request.account(), 1, request.priority(), item.sharePpm(), item.dueNanos());
    FairQueue.OfferResult<WaitingRequest> result = queue.offer(queued);
    if (result.isAccepted()) {
      waiting.put(request.key(), queued);
    }
    WaitingRequest displaced =
        result.isAccepted() ? result.displaced().map(QueuedItem::value).orElse(null) : item;
    if (displaced != null) {
      waiting.remove(displaced.request().key());
      decisions.add(refuse(displaced, RoomRefusal.TARGET_OUT_OF_REACH, nowNanos));
    }
  }

  private long sharePpm(RoomRequest request) {
    return AccountUse.toPpm(forecast.engineShare(request.promptTokens(), answers.passes(request)));
  }

  private double reserve(WaitingRequest item, RoomOutlook outlook, long nowNanos) {
    double freed = outlook.roomPerMs() * outlook.passMs();
    return arrivals.reserve(item.request().priority(), outlook.passMs(), freed, nowNanos);
  }

  /**
   * Returns true if a request may wait in an engine's queue. There it takes the next slot before
   * any request that comes later, so a less urgent one and one of an account over its share may
   * not.
   */
  private boolean mayQueue(WaitingRequest item, RoomOutlook outlook, long nowNanos) {
    RoomRequest request = item.request();
    return !accounts.isOverShare(request.account())
        && arrivals.expectedBefore(request.priority(), outlook.passMs(), nowNanos) < 1;
  }

  private boolean goesFirst(QueuedItem<WaitingRequest> queued) {
    // No account gets much by this, as ReturnPlan invites no more than a part of the slots.
    return queued.value().isInvited();
  }

  private int freePlaces(long nowNanos) {
    long free = 0;
    for (HeadRoom head : heads.values()) {
      free += head.free(nowNanos);
    }
    return (int) Math.min(Integer.MAX_VALUE, free);
  }

  private int freeSlots(long nowNanos) {
    long free = 0;
    for (HeadRoom head : heads.values()) {
      free += head.freeSlots(nowNanos);
    }
    return (int) Math.min(Integer.MAX_VALUE, free);
  }
}
