package org.shoreroad.admission;

import java.util.Objects;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;

/**
 * Forecast of the times of an engine from its specification and the load of a replica head.
 *
 * <p>An engine works in passes. A pass with running requests plays {@code stepsPerPass} steps, each
 * of which reads at most {@code chunkTokens} of the prompts that wait. Requests that wait for a
 * slot are admitted when a pass begins. A stream receives one event a pass.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @since 0.2
 */
public final class EngineForecast {
  /** Lower bound of a pass, in milliseconds, so that rates stay finite without engine figures. */
  private static final double MIN_PASS_MS = 0.01;

  private final EngineSpec spec;
  private final double paceFactor;
  private final int slots;
  private final long readTokensPerPass;

  private EngineForecast(EngineSpec spec, ModelShape model) {
    this.spec = Objects.requireNonNull(spec, "spec");
    paceFactor = model.paceFactor();
    slots = Math.max(1, spec.slots());
    long perPass = (long) Math.max(1, spec.stepsPerPass()) * spec.chunkTokens();
    readTokensPerPass = perPass > 0 ? perPass : Long.MAX_VALUE;
  }

  /**
   * Returns a forecast for the replicas of a model.
   *
   * @param spec the figures of the engines, not null; without a rate of reading, reading takes no
   *     time; without a chunk, a pass reads all that waits
   * @param model the model, not null
   * @return the forecast
   */
  public static EngineForecast of(EngineSpec spec, ModelShape model) {
    return new EngineForecast(spec, model);
  }

  /** Returns the number of requests that a replica runs concurrently, at least 1. */
  public int slots() {
    return slots;
  }

  /** Returns the duration of one pass under the load, in milliseconds. */
  public double passMs(HeadLoad load) {
    return durationMs(load, Math.min(slots, load.open()), load.unreadTokens());
  }

  /**
   * Returns the duration of a pass with a new request, which is the longest pause that it causes in
   * the streams that run.
   *
   * @param load the load without the request
   * @param promptTokens the tokens of its prompt, 0 or more
   * @return the duration in milliseconds
   */
  public double pauseMs(HeadLoad load, long promptTokens) {
    return durationMs(load, Math.min(slots, load.open() + 1), load.unreadTokens() + promptTokens);
  }

  /**
   * Returns the time from now to the first event of a new request: the wait for a slot, half of the
   * steps of the pass that runs, the passes that read the prompts ahead and its own, and the pass
   * of its event.
   *
   * @param load the load without the request
   * @param promptTokens the tokens of its prompt, 0 or more
   * @param answerPasses the mean number of passes of an answer, positive
   * @return the time in milliseconds
   */
  public double firstEventMs(HeadLoad load, long promptTokens, double answerPasses) {
    return readMs(load, promptTokens, answerPasses) + eventMs(load);
  }

  /** Returns the part of {@link #firstEventMs} until the prompt has been read. */
  public double readMs(HeadLoad load, long promptTokens, double answerPasses) {
    int running = Math.min(slots, load.open());
    long tokens = load.unreadTokens() + promptTokens;
    long fullPasses = Math.max(0, (tokens - 1) / readTokensPerPass);
    long lastTokens = tokens - fullPasses * readTokensPerPass;
    double fullMs = fullPasses == 0 ? 0 : fullPasses * durationMs(load, running, readTokensPerPass);
    double presentMs = load.open() == 0 ? 0 : durationMs(load, running, 0) / 2;
    return slotWaitMs(load, answerPasses)
        + presentMs
        + fullMs
        + durationMs(load, running, lastTokens);
  }

  /**
   * Returns the duration of the pass in which a new request has its first event. The prompts that
   * arrive until then are read in it; as many tokens as are unread now arrive in two passes.
   */
  private double eventMs(HeadLoad load) {
    return durationMs(load, Math.min(slots, load.open() + 1), load.unreadTokens() / 2);
  }

  /**
   * Returns the time until a slot is free for a new request, in milliseconds: the mean and the
   * spread, since answers end at random.
   */
  private double slotWaitMs(HeadLoad load, double answerPasses) {
    int ahead = load.open() - slots + 1;
    return ahead <= 0 ? 0 : (ahead + Math.sqrt(ahead)) / freedPerMs(load, answerPasses);
  }

  /**
   * Returns the rate at which slots become free.
   *
   * @param load the load
   * @param answerPasses the mean number of passes of an answer, positive
   * @return the slots per millisecond, 0 if nothing runs
   */
  public double freedPerMs(HeadLoad load, double answerPasses) {
    return Math.min(slots, load.open()) / (answerPasses * passMs(load));
  }

  /** Returns the number of passes that write an answer of this size, at least 1. */
  public double answerPasses(double answerTokens) {
    return Math.max(1, Math.ceil(answerTokens / Math.max(1, spec.stepsPerPass())));
  }

  /**
   * Returns the time of a fully loaded engine that a request takes: the reading of its prompt, and
   * its share of the passes of its answer.
   *
   * @param promptTokens the tokens of its prompt, 0 or more
   * @param answerPasses the number of passes of its answer, positive
   * @return the time in milliseconds, positive
   */
  public double costMs(long promptTokens, double answerPasses) {
    return readOnlyMs(promptTokens) * paceFactor + answerPasses * fullPassMs() / slots;
  }

  /**
   * Returns the share of a fully loaded engine that a request takes while it runs.
   *
   * @param promptTokens the tokens of its prompt, 0 or more
   * @param answerPasses the number of passes of its answer, positive
   * @return the share, positive
   */
  public double engineShare(long promptTokens, double answerPasses) {
    double costMs = costMs(promptTokens, answerPasses);
    return costMs / (readOnlyMs(promptTokens) * paceFactor + answerPasses * fullPassMs());
  }

  /** Returns the duration of a pass with all slots in use and nothing to read, in milliseconds. */
  public double fullPassMs() {
    return passMs(new HeadLoad(slots, 0, 0, 1));
  }

  private double durationMs(HeadLoad load, int running, long unreadTokens) {
    double readMs = readOnlyMs(Math.min(unreadTokens, readTokensPerPass));
    int steps = running == 0 ? 1 : Math.max(1, spec.stepsPerPass());
    double contextMs = load.contextTokens() / 1e3 * spec.contextMsPerKiloToken();
    double stepsMs = steps * (spec.stepMs() + running * spec.perSequenceMs() + contextMs);
    return Math.max(MIN_PASS_MS, (stepsMs + readMs) * paceFactor * load.slowness());
  }

  private double readOnlyMs(long tokens) {
    return spec.promptTokensPerSecond() > 0 ? tokens / spec.promptTokensPerSecond() * 1e3 : 0;
  }
}
