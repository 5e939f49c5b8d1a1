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

  /** Returns the request with its numbers in range; one without a target gets its deadline. */
  static RoomRequest clamp(RoomRequest request) {
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
    return clamped;
  }

  /**
   * Returns the state with its numbers in range. A rate of starts that is no number or negative
   * permits none, since a cold head must not get more than it bears.
   */
  static HeadState clamp(HeadState state) {
    double slowness = state.slowness();
    double starts = state.startsPerSecond();
    return new HeadState(
        state.id(),
        state.zone(),
        clamp(state.foreignOpen(), 0, MAX_OPEN),
        Math.max(0, Math.min(MAX_TOKENS, state.foreignUnreadTokens())),
        slowness >= 1 ? Math.min(MAX_SLOWNESS, slowness) : 1,
        state.isUsable(),
        starts >= 0 ? starts : 0);
  }

  private static int clamp(int value, int low, int high) {
    return Math.max(low, Math.min(high, value));
  }
}
