package org.shoreroad.admission;

import java.util.Set;

/** Call of a caller, at most once refused and returned. Times in milliseconds. */
final class ModelCall {
  static final int TARGET_MS = 250;
  static final int GAP_MS = 200;
  static final int DEADLINE_MS = 6_000;

  final String account;
  final int priority;
  final int promptTokens;
  final int answerTokens;
  final double arrivedMs;
  private final double hintFactor;
  double unreadTokens;
  int eventsLeft;
  boolean isWriting;
  boolean hasReturned;
  boolean isRefusedAgain;
  double sentMs;
  private boolean isOnTime = true;
  private boolean hasEnded;
  private double lastEventMs = -1;

  /**
   * Creates a call.
   *
   * @param hintFactor the expected size of the answer divided by the real one
   */
  ModelCall(
      String account,
      int priority,
      int promptTokens,
      int events,
      double hintFactor,
      double arrivedMs) {
    this.account = account;
    this.priority = priority;
    this.promptTokens = promptTokens;
    this.answerTokens = events * ModelHead.STRIDE;
    this.hintFactor = hintFactor;
    this.arrivedMs = arrivedMs;
    this.sentMs = arrivedMs;
    unreadTokens = promptTokens;
    eventsLeft = events;
  }

  void recordEvent(double nowMs) {
    isOnTime &= lastEventMs < 0 ? nowMs - arrivedMs <= TARGET_MS : nowMs - lastEventMs <= GAP_MS;
    lastEventMs = nowMs;
    eventsLeft--;
    hasEnded = eventsLeft == 0;
  }

  boolean isInTime() {
    return hasEnded && isOnTime;
  }

  boolean hasEnded() {
    return hasEnded;
  }

  boolean isLate() {
    return lastEventMs >= 0 && !isOnTime;
  }

  RoomRequest toRequest(long number, double nowMs) {
    // A process does not know when the caller sent the request for the first time.
    int ageMs = (int) (nowMs - sentMs);
    return new RoomRequest(
        new RoomRequest.Key("p", number),
        "z",
        account,
        priority,
        promptTokens,
        (int) Math.ceil(answerTokens * hintFactor),
        ageMs,
        TARGET_MS,
        GAP_MS,
        (int) (DEADLINE_MS - (nowMs - arrivedMs)),
        Double.hashCode(arrivedMs),
        Set.of(),
        true);
  }
}
