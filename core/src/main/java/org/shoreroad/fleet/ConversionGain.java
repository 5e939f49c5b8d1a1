package org.shoreroad.fleet;

import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Gain of a conversion while requests are refused or late, weighed against its cost.
 *
 * <p>The unit is one second in which the worst-served model has one more replica. The boxes of
 * closed replicas serve nobody until the new ones open, and the gain lasts only as long as the
 * imbalance. All methods are pure and thread-safe.
 */
final class ConversionGain {
  /** Pressure up to which requests are served in time. */
  static final double SERVED_PRESSURE = 0.8;

  /** Time from closing a replica to opening the next one with weights from the host. */
  private static final double CONVERSION_SECONDS = 4;

  /** Time for which an imbalance is taken to last if it is not falling. */
  private static final double LASTING_SECONDS = 10;

  /** The same as long as it is not known whether it is falling. */
  private static final double LASTING_UNKNOWN_SECONDS = 5;

  private ConversionGain() {}

  /**
   * Returns the gain, in replica-seconds of the worst-served model; negative if the cost is higher.
   *
   * @param packing the packing of the domain, not null
   * @param before the replicas of each model without the conversion, not null
   * @param closed the number of these that are closed, by model, not null
   * @param after the replicas of each model after the conversion, not null
   * @param lastingSeconds the time for which the imbalance is expected to last, 0 or more
   */
  static double of(
      DomainPacking packing,
      Map<String, Integer> before,
      Map<String, Integer> closed,
      Map<String, Integer> after,
      double lastingSeconds) {
    DomainPacking atPeak = packing.atPeakOf(closed.keySet());
    return of(packing, before, closed, atPeak.highestPressure(after, Map.of()), lastingSeconds);
  }

  /**
   * Returns the gain as {@link #of(DomainPacking, Map, Map, Map, double)}.
   *
   * @param pressureAfter the highest pressure after the conversion, with the closed models at their
   *     peaks; a lower one never has a lower gain
   */
  static double of(
      DomainPacking packing,
      Map<String, Integer> before,
      Map<String, Integer> closed,
      double pressureAfter,
      double lastingSeconds) {
    DomainPacking atPeak = packing.atPeakOf(closed.keySet());
    double servedBefore = served(atPeak.highestPressure(before, Map.of()));
    Map<String, Integer> minus = new HashMap<>();
    closed.forEach((model, count) -> minus.put(model, -count));
    double servedDuring = served(atPeak.highestPressure(before, minus));
    double gainSeconds = Math.max(0, lastingSeconds - CONVERSION_SECONDS);
    double costSeconds = Math.min(lastingSeconds, CONVERSION_SECONDS);
    double seconds =
        (served(pressureAfter) - servedBefore) * gainSeconds
            - (servedBefore - servedDuring) * costSeconds;
    String worst = atPeak.highestPressureModel(before, Map.of());
    return worst == null ? 0 : seconds * Math.max(1, atPeak.needed(worst)) / SERVED_PRESSURE;
  }

  /**
   * Returns the number of domains that can make the same conversion at once, so that each of them,
   * after the ones before it, gains at least the minimum.
   *
   * @param maxCount the highest number returned
   */
  static int usefulCount(
      DomainPacking packing,
      Map<String, Integer> before,
      Map<String, Integer> closed,
      Map<String, Integer> after,
      double lastingSeconds,
      double minGain,
      int maxCount) {
    Map<String, Integer> earlier = new HashMap<>(before);
    Map<String, Integer> later = new HashMap<>(after);
    int count = 0;
    while (count < maxCount && of(packing, earlier, closed, later, lastingSeconds) >= minGain) {
      count++;
      Map<String, Integer> next = new HashMap<>(later);
      after.forEach((model, replicas) -> next.merge(model, replicas, Integer::sum));
      before.forEach((model, replicas) -> next.merge(model, -replicas, Integer::sum));
      earlier = later;
      later = next;
    }
    return count;
  }

  /** Returns the share of the requests of a model that are served in time at the pressure. */
  private static double served(double pressure) {
    return pressure <= SERVED_PRESSURE ? 1 : SERVED_PRESSURE / pressure;
  }

  /**
   * Returns the time for which the pressure is expected to stay above that of full service.
   *
   * @param pressure the present pressure
   * @param risePerSecond the relative change of the arrivals in one second, or null if unknown
   * @return the time in seconds
   */
  static double lastingSeconds(double pressure, @Nullable Double risePerSecond) {
    if (risePerSecond == null) {
      return LASTING_UNKNOWN_SECONDS;
    }
    if (risePerSecond >= 0) {
      return LASTING_SECONDS;
    }
    double fall = Math.max(0, 1 - SERVED_PRESSURE / pressure);
    return Math.min(LASTING_SECONDS, fall / -risePerSecond);
  }
}
