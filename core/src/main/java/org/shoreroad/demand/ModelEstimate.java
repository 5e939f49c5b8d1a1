package org.shoreroad.demand;

import java.util.concurrent.TimeUnit;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.ModelShape;

/**
 * Estimate of the replicas that one model needs, from smoothed measurements.
 *
 * <p>An engine has two resources: slots, which a request occupies from its start to its end, and
 * time to read prompts. The need is the larger of the two. Refused requests count as if they had
 * been served, their returns do not. Not thread-safe: confined to one thread.
 */
final class ModelEstimate {
  /** Time constant of the smoothing, in nanoseconds; the counts cover one second as well. */
  private static final double SMOOTHING_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time constant for the time in a slot, which depends on the kinds of requests. */
  private static final double SLOT_TIME_SMOOTHING_NANOS = TimeUnit.SECONDS.toNanos(3);

  /**
   * Share of its time that an engine can spend on prompts. A prompt that arrives at random then
   * waits on average as long as one is read, and a pass takes twice as long as one without prompts.
   */
  private static final double MAX_READING_SHARE = 0.5;

  /** Passes of a request before the time in a slot has been measured. */
  private static final double INITIAL_PASSES = 16;

  /** Minimum requests served in one second from which the time in a slot is measured. */
  private static final double MIN_SERVED = 2;

  /**
   * Time by which arrivals are foreseen, in seconds: about that in which boxes change their model.
   */
  private static final double HORIZON_SECONDS = 2.5;

  private static final double MIN_TREND_FACTOR = 0.75;
  private static final double MAX_TREND_FACTOR = 1.5;

  /** Share of refused and late requests above which a model counts as strained. */
  private static final double STRAINED_SHARE = 0.05;

  /** Minimum refused and late requests in one second of a strained model. */
  private static final double MIN_UNSERVED = 1;

  private final RateTrend trend = new RateTrend();
  private final RecentPeak peak = new RecentPeak();
  private boolean hasMeasured;
  private long measuredNanos;
  private int replicas;
  private double open;
  private double arrived;
  private double refused;
  private double late;
  private double promptTokens;
  private double slotSeconds;

  /** Adds a measurement. */
  void add(ModelLoad load, EngineSpec spec, ModelShape shape, long nowNanos) {
    double weight = weight(nowNanos, SMOOTHING_NANOS);
    replicas = load.replicas();
    open += weight * (load.open() - open);
    arrived += weight * (load.arrived() - arrived);
    refused += weight * (load.refused() - refused);
    late += weight * (load.late() - late);
    promptTokens += weight * (load.promptTokens() - promptTokens);
    trend.add(load.arrived(), nowNanos);
    measureSlotTime(weight(nowNanos, SLOT_TIME_SMOOTHING_NANOS), spec, shape);
    measuredNanos = nowNanos;
    hasMeasured = true;
    if (arrived > 0) {
      peak.add(presentNeed(spec, shape), nowNanos);
    }
  }

  private double weight(long nowNanos, double constantNanos) {
    return hasMeasured ? 1 - Math.exp((measuredNanos - nowNanos) / constantNanos) : 1;
  }

  /** Derives the mean time in a slot from the open requests and the rate of the served ones. */
  private void measureSlotTime(double weight, EngineSpec spec, ModelShape shape) {
    if (slotSeconds == 0) {
      slotSeconds = INITIAL_PASSES * spec.passMs(shape, spec.slots(), 0) / 1e3;
    }
    double served = arrived - refused;
    if (served >= MIN_SERVED && open > 0) {
      slotSeconds += weight * (open / served - slotSeconds);
    }
  }

  /** Returns true if more than a small share of the requests is refused or late. */
  boolean isStrained() {
    double unserved = refused + late;
    return unserved >= MIN_UNSERVED && unserved > STRAINED_SHARE * arrived;
  }

  /** Returns the needed slots, those of refused requests included, without the trend. */
  double neededSlots() {
    return Math.max(open, arrived * newShare() * slotSeconds);
  }

  /** Returns the replicas that the prompts need, without the trend; 0 if no rate is declared. */
  double neededReaders(EngineSpec spec, ModelShape shape) {
    if (spec.promptTokensPerSecond() <= 0) {
      return 0;
    }
    double readSeconds = promptTokens * shape.paceFactor() / spec.promptTokensPerSecond();
    return newShare() * readSeconds / MAX_READING_SHARE;
  }

  /**
   * Returns the share of the arrivals that are no returns, as if each refused caller came again
   * once. Most do, and a process can't tell, since the tries may reach different processes.
   */
  private double newShare() {
    return arrived <= 0 ? 1 : 1 / (1 + Math.min(1, refused / arrived));
  }

  private double presentNeed(EngineSpec spec, ModelShape shape) {
    double slots = neededSlots() / Math.max(1, spec.slots());
    return Math.max(slots, neededReaders(spec, shape));
  }

  /**
   * Returns the replicas needed at the end of a conversion that begins now. No rise is foreseen
   * above the highest need of the last seconds, since a swing ends there.
   */
  double neededReplicas(EngineSpec spec, ModelShape shape) {
    double present = presentNeed(spec, shape);
    return Math.min(present * trendFactor(), Math.max(present, peak.value()));
  }

  /**
   * Returns the highest need in replicas of the last seconds, without the trend. As long as less is
   * known, the model is taken to need the replicas that it has.
   */
  double recentPeak() {
    return peak.isComplete() ? peak.value() : Math.max(peak.value(), replicas);
  }

  /**
   * Returns the factor by which the arrivals are expected to change during a conversion. A rise
   * counts only once it can be distinguished from a swing that occurred before.
   */
  double trendFactor() {
    double factor = 1 + risePerSecond() * HORIZON_SECONDS;
    double max = peak.isComplete() ? MAX_TREND_FACTOR : 1;
    return Math.max(MIN_TREND_FACTOR, Math.min(max, factor));
  }

  /** Returns true if the change of the arrivals is known. */
  boolean isTrendKnown() {
    return trend.isKnown();
  }

  /** Returns the relative change of the arrivals in one second, 0 if it is not known. */
  double risePerSecond() {
    return trend.relativePerSecond();
  }
}
