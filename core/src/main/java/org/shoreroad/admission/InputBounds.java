package org.shoreroad.admission;

/**
 * Bounds for numbers that come from other processes, so that a wrong one affects its own request or
 * head alone and not the sums over all.
 *
 * <p>Thread-safe.
 */
final class InputBounds {
  /** Far above the context of any model, far below an overflow of sums. */
  private static final long MAX_TOKENS = 1L << 30;

  private static final int MAX_TIME_MS = 24 * 3_600 * 1_000;
  private static final int MAX_OPEN = 1 << 16;
  private static final int MAX_PRIORITY = 9;
  private static final double MAX_SLOWNESS = 100;

  private InputBounds() {}

  /**
   * Returns the request with its numbers in range, the same object if they are; one without a
   * target gets its deadline as target.
   */
  static RoomRequest clampRequest(RoomRequest request) {
    int remainingMs = clamp(request.remainingMs(), 0, MAX_TIME_MS);
    int targetMs = request.targetLatencyMs() > 0 ? request.targetLatencyMs() : remainingMs;
    RoomRequest clamped =
        new RoomRequest(
            request.key(),
            request.zone(),
            request.account(),
            clamp(request.priority(), 0, MAX_PRIORITY),
            Math.max(0, Math.min(MAX_TOKENS, request.promptTokens())),
            clamp(request.answerTokens(), 0, (int) MAX_TOKENS),
            clamp(request.ageMs(), 0, MAX_TIME_MS),
            Math.min(MAX_TIME_MS, targetMs),
            clamp(request.targetGapMs(), 0, MAX_TIME_MS),
            remainingMs,
            request.contentHash(),
            request.excludedHeads(),
            request.isFinal());
    boolean isSame =
        hasSameNumbers(request, clamped) && request.targetLatencyMs() == clamped.targetLatencyMs();
    return isSame ? request : clamped;
  }

  /**
   * Returns true if a number of the request was out of range. A target of 0 is in range: the route
   * of the request has none.
   *
   * @param clamped the result of {@link #clampRequest} for the request
   */
  static boolean isCorrected(RoomRequest request, RoomRequest clamped) {
    boolean isTargetInRange =
        request.targetLatencyMs() == 0 || request.targetLatencyMs() == clamped.targetLatencyMs();
    return !isTargetInRange || !hasSameNumbers(request, clamped);
  }

  /** Returns true if all numbers but the target for the first event are the same. */
  private static boolean hasSameNumbers(RoomRequest a, RoomRequest b) {
    return a.priority() == b.priority()
        && a.promptTokens() == b.promptTokens()
        && a.answerTokens() == b.answerTokens()
        && a.ageMs() == b.ageMs()
        && a.targetGapMs() == b.targetGapMs()
        && a.remainingMs() == b.remainingMs();
  }

  /**
   * Returns the state with its numbers in range, the same object if they are. A rate of starts that
   * is no number or negative permits none, so that a cold head is never sent too many.
   */
  static HeadState clampState(HeadState state) {
    int foreignOpen = clamp(state.foreignOpen(), 0, MAX_OPEN);
    long foreignTokens = Math.max(0, Math.min(MAX_TOKENS, state.foreignUnreadTokens()));
    double slowness = state.slowness() >= 1 ? Math.min(MAX_SLOWNESS, state.slowness()) : 1;
    double starts = state.startsPerSecond() >= 0 ? state.startsPerSecond() : 0;
    boolean isInRange =
        foreignOpen == state.foreignOpen()
            && foreignTokens == state.foreignUnreadTokens()
            && slowness == state.slowness()
            && starts == state.startsPerSecond();
    return isInRange
        ? state
        : new HeadState(
            state.id(),
            state.zone(),
            foreignOpen,
            foreignTokens,
            slowness,
            state.isUsable(),
            starts);
  }

  private static int clamp(int value, int low, int high) {
    return Math.max(low, Math.min(high, value));
  }
}
