package org.shoreroad.admission;

import java.util.ArrayList;
import java.util.List;
import org.shoreroad.queue.DrainRate;
import org.shoreroad.queue.FairQueue;

/**
 * Room that less urgent requests leave to the more urgent ones that are expected within the next
 * pass.
 *
 * <p>One of {@link FairQueue#OTHERS_INTERVAL} grants needs no reserve, so that no priority starves.
 * Not thread-safe.
 */
final class ArrivalReserve {
  /** Time constant of the mean of arrivals, in seconds; short, since bursts last seconds. */
  private static final double DECAY_SECONDS = 0.5;

  private static final double MS_PER_SECOND = 1e3;

  private final List<DrainRate> arrivals = new ArrayList<>();
  private int grantsSinceLessUrgent;

  /** Records the arrival of a request. */
  void recordArrival(int priority, long nowNanos) {
    while (arrivals.size() < FairQueue.PRIORITIES) {
      arrivals.add(new DrainRate(nowNanos, DECAY_SECONDS));
    }
    arrivals.get(priority).record(nowNanos);
  }

  /** Records a grant. */
  void recordGrant(int priority, long nowNanos) {
    boolean isLessUrgent = arrivalsPerSecond(priority, nowNanos) > 0;
    grantsSinceLessUrgent = isLessUrgent ? 0 : grantsSinceLessUrgent + 1;
  }

  /**
   * Returns the number of requests expected to arrive within a time that are more urgent than a
   * priority, with the spread of such a number.
   *
   * @param priority the priority, or {@link FairQueue#PRIORITIES} for all
   */
  double expectedBefore(int priority, double durationMs, long nowNanos) {
    double expected = arrivalsPerSecond(priority, nowNanos) * durationMs / MS_PER_SECOND;
    return expected + Math.sqrt(expected);
  }

  /**
   * Returns the number of places that a request leaves free.
   *
   * @param freed the number of slots expected to become free within the time
   */
  double reserve(int priority, double durationMs, double freed, long nowNanos) {
    if (grantsSinceLessUrgent >= FairQueue.OTHERS_INTERVAL) {
      return 0;
    }
    return Math.max(0, expectedBefore(priority, durationMs, nowNanos) - freed);
  }

  private double arrivalsPerSecond(int priority, long nowNanos) {
    double perSecond = 0;
    for (int i = 0; i < Math.min(priority, arrivals.size()); i++) {
      perSecond += arrivals.get(i).perSecond(nowNanos);
    }
    return perSecond;
  }
}
