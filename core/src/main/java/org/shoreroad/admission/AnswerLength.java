package org.shoreroad.admission;

/**
 * Mean number of passes of an answer: measured between the end of reading and the end of the
 * answer, or, until enough were measured, from the expected sizes of the granted requests.
 *
 * <p>Not thread-safe.
 */
final class AnswerLength {
  /** Used before any size is known, in tokens. */
  private static final int DEFAULT_TOKENS = 128;

  /** Share of a new value in the mean. */
  private static final double NEW_SHARE = 0.02;

  /** Number of measured answers from which on the expected sizes are no longer used. */
  private static final int ENOUGH = 50;

  private final EngineForecast forecast;
  private double meanPasses;
  private double meanTokens = DEFAULT_TOKENS;
  private int expectedCount;
  private int measuredCount;

  AnswerLength(EngineForecast forecast) {
    this.forecast = forecast;
    meanPasses = forecast.answerPasses(DEFAULT_TOKENS);
  }

  /** Returns the mean number of passes, at least 1. */
  double meanPasses() {
    return meanPasses;
  }

  /** Returns the expected size of a request's answer, the mean if it is unknown, in tokens. */
  double tokens(RoomRequest request) {
    return request.answerTokens() > 0 ? request.answerTokens() : meanTokens;
  }

  /** Returns the expected number of passes of a request's answer, at least 1. */
  double passes(RoomRequest request) {
    return request.answerTokens() > 0 ? forecast.answerPasses(request.answerTokens()) : meanPasses;
  }

  /** Records the expected size of a request that was granted room. */
  void recordExpected(RoomRequest request) {
    if (request.answerTokens() == 0) {
      return;
    }
    double share = Math.max(NEW_SHARE, 1.0 / ++expectedCount);
    meanTokens += share * (request.answerTokens() - meanTokens);
    if (measuredCount < ENOUGH) {
      meanPasses += share * (forecast.answerPasses(request.answerTokens()) - meanPasses);
    }
  }

  /** Records the number of passes between the end of reading and the end of an answer. */
  void recordMeasured(double passes) {
    measuredCount = Math.min(ENOUGH, measuredCount + 1);
    double share = Math.max(NEW_SHARE, 1.0 / measuredCount);
    if (measuredCount == ENOUGH || expectedCount == 0) {
      meanPasses += share * (Math.max(1, passes) - meanPasses);
    }
  }
}
