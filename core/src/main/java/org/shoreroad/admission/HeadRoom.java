package org.shoreroad.admission;

import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Room at one replica head: its state, its grants, and bounds on its use.
 *
 * <p>Not thread-safe.
 */
final class HeadRoom {
  /**
   * Time after which the reports of all processes have told the load that others put on a head, in
   * nanoseconds: two intervals of a heartbeat.
   */
  private static final long LEARNING_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

  /**
   * Starts in a pass until the load of others is known, as a factor of the slots that become free
   * in a pass of a full head. The excess over 1 is for arrivals that come together.
   */
  private static final double LEARNING_FACTOR = 1.5;

  /** Time in which the slots that an engine had too few of are tried again, in nanoseconds. */
  private static final double RECOVERY_NANOS = TimeUnit.SECONDS.toNanos(2);

  /** Share of the target for pauses that a forecast may fill, for its error. */
  private static final double GAP_SHARE = 0.9;

  private static final double NANOS_PER_MS = 1e6;

  private final EngineForecast forecast;
  private final AnswerLength answers;
  private final long cacheCapacityTokens;
  private final long knownSinceNanos;
  private final Set<Grant> grants = new HashSet<>();
  private final ArrayDeque<Grant> unread = new ArrayDeque<>();
  private final StartLog starts = new StartLog();
  private HeadState state;
  private long unreadTokens;
  private long cacheTokens;
  private long contextTokens;
  private boolean hasRejected;
  private int openAtRejection;
  private long rejectedNanos;

  HeadRoom(
      EngineForecast forecast,
      AnswerLength answers,
      long cacheCapacityTokens,
      HeadState state,
      long nowNanos) {
    this.forecast = forecast;
    this.answers = answers;
    this.cacheCapacityTokens = cacheCapacityTokens > 0 ? cacheCapacityTokens : Long.MAX_VALUE;
    this.state = state;
    knownSinceNanos = nowNanos;
  }

  HeadState state() {
    return state;
  }

  void setState(HeadState state) {
    this.state = state;
  }

  Set<Grant> grants() {
    return grants;
  }

  /** Returns the load as of the last call of {@link #advance}. */
  HeadLoad load() {
    long tokens = unreadTokens + state.foreignUnreadTokens();
    return new HeadLoad(open(), tokens, contextTokens, state.slowness());
  }

  /** Returns the load without the requests that wait in the engine's queue. */
  private HeadLoad runningLoad() {
    int running = Math.min(open(), forecast.slots() - 1);
    long tokens = unreadTokens + state.foreignUnreadTokens();
    return new HeadLoad(running, tokens, contextTokens, state.slowness());
  }

  private int open() {
    return grants.size() + state.foreignOpen();
  }

  double passMs() {
    return forecast.passMs(load());
  }

  /** Returns the forecast of the time to the first event of a request that is sent now. */
  double firstEventMs(RoomRequest request) {
    return forecast.firstEventMs(load(), request.promptTokens(), answers.meanPasses());
  }

  /** Returns the same without the wait for a slot. */
  double firstEventWithSlotMs(RoomRequest request) {
    return forecast.firstEventMs(runningLoad(), request.promptTokens(), answers.meanPasses());
  }

  /** Returns the rate at which room becomes available, in requests per millisecond. */
  double roomPerMs(long nowNanos) {
    if (!state.isUsable()) {
      return 0;
    }
    boolean isHeldBack = open() < forecast.slots() && free(nowNanos) == 0;
    double startsPerMs = state.startsPerSecond() / 1e3;
    double perMs = forecast.freedPerMs(load(), answers.meanPasses());
    if (isHeldBack) {
      perMs = isLearning(nowNanos) ? learningStarts() / fullPassMs() : startsPerMs;
    }
    return Math.min(perMs, startsPerMs);
  }

  /** Returns the number of requests that may be sent now, 0 or more. */
  int free(long nowNanos) {
    if (!state.isUsable()) {
      return 0;
    }
    int places = limit(nowNanos) - open();
    int startsLeft = starts.left(state.startsPerSecond(), nowNanos);
    if (isLearning(nowNanos)) {
      startsLeft = Math.min(startsLeft, learningStarts() - starts.count(fullPassNanos(), nowNanos));
    }
    return Math.max(0, Math.min(places, startsLeft));
  }

  private boolean isLearning(long nowNanos) {
    return nowNanos - knownSinceNanos < LEARNING_NANOS;
  }

  /** Returns the number of starts in a pass while the load of others is not known. */
  private int learningStarts() {
    return (int) Math.max(1, Math.round(LEARNING_FACTOR * forecast.slots() / answers.meanPasses()));
  }

  /** Returns the number of free slots, without places in the engine's queue, 0 or more. */
  int freeSlots(long nowNanos) {
    return Math.max(0, Math.min(free(nowNanos), forecast.slots() - open()));
  }

  /** Returns the reason why a request can't be sent now apart from its target, or null. */
  @Nullable RoomRefusal check(RoomRequest request, long nowNanos) {
    if (!state.isUsable() || request.excludedHeads().contains(state.id())) {
      return RoomRefusal.NO_HEAD;
    }
    if (cacheTokens(request) > cacheCapacityTokens - usedCacheTokens()) {
      return RoomRefusal.CACHE_FULL;
    }
    if (free(nowNanos) == 0) {
      return RoomRefusal.TARGET_OUT_OF_REACH;
    }
    return keepsGaps(request) ? null : RoomRefusal.GAP_OUT_OF_REACH;
  }

  /** Returns the tokens that a request takes in the key-value cache. */
  long cacheTokens(RoomRequest request) {
    return request.promptTokens() + (long) answers.tokens(request);
  }

  void add(Grant grant) {
    grants.add(grant);
    unread.addLast(grant);
    unreadTokens += grant.request().promptTokens();
    cacheTokens += grant.cacheTokens();
    contextTokens += grant.cacheTokens();
    starts.record(grant.grantedNanos());
  }

  void remove(Grant grant) {
    if (!grants.remove(grant)) {
      return;
    }
    cacheTokens -= grant.cacheTokens();
    contextTokens -= grant.cacheTokens();
    if (unread.remove(grant)) {
      unreadTokens -= grant.request().promptTokens();
    }
  }

  /** Takes the engine for full for a pass, since it rejected a request. */
  void recordRejected(long nowNanos) {
    hasRejected = true;
    openAtRejection = open();
    rejectedNanos = nowNanos;
  }

  /** Removes the prompts that are expected to have been read. */
  void advance(long nowNanos) {
    while (!unread.isEmpty() && unread.peekFirst().readNanos() - nowNanos <= 0) {
      unreadTokens -= unread.removeFirst().request().promptTokens();
    }
  }

  /**
   * Returns the number of open requests that the head may have: its slots, and as many places in
   * the engine's queue as slots become free in a pass, since a slot that becomes free is filled
   * only when the next pass begins.
   */
  private int limit(long nowNanos) {
    int places = (int) Math.max(1, Math.round(forecast.slots() / answers.meanPasses()));
    int full = forecast.slots() + places;
    if (!hasRejected) {
      return full;
    }
    long sinceNanos = nowNanos - rejectedNanos;
    if (sinceNanos < fullPassNanos()) {
      return 0;
    }
    if (sinceNanos > RECOVERY_NANOS) {
      hasRejected = false;
      return full;
    }
    return Math.min(full, openAtRejection + (int) (full * (sinceNanos / RECOVERY_NANOS)));
  }

  /** Returns the duration of a pass at full load, since the load of others may be unknown. */
  private double fullPassMs() {
    return forecast.fullPassMs() * state.slowness();
  }

  private long fullPassNanos() {
    return (long) (fullPassMs() * NANOS_PER_MS);
  }

  /** Returns the used tokens, where requests of others count as the mean of the own ones. */
  private long usedCacheTokens() {
    long meanTokens = grants.isEmpty() ? 0 : cacheTokens / grants.size();
    return cacheTokens + meanTokens * state.foreignOpen();
  }

  private boolean keepsGaps(RoomRequest request) {
    double gapMs = request.targetGapMs() > 0 ? request.targetGapMs() : Double.POSITIVE_INFINITY;
    for (Grant grant : grants) {
      int otherMs = grant.request().targetGapMs();
      gapMs = otherMs > 0 ? Math.min(gapMs, otherMs) : gapMs;
    }
    // With nothing that runs or waits to be read, no other choice is better for the request.
    return load().unreadTokens() == 0 && open() == 0
        || forecast.pauseMs(load(), request.promptTokens()) <= gapMs * GAP_SHARE;
  }
}
