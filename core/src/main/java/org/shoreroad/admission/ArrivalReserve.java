package org.shoreroad.admission;

import java.util.ArrayList;
import java.util.List;
import org.shoreroad.queue.DrainRate;
import org.shoreroad.queue.FairQueue;

/**
 * Room that less urgent requests leave to the more urgent ones that are expected within the next
 * pass.
 *
 * <p>One of {@link FairQueue#OTHERS_INTERVAL} grants may take this room, so that no priority
 * starves. Not thread-safe.
 */
final class ArrivalReserve {
  /** Time constant of the mean of arrivals, in seconds; short, since bursts last seconds. */
  private static final double DECAY_SECONDS = 0.5;

  /** Standard deviations of the spread; two cover 97 of 100 passes. */
  private static final double SPREAD = 2;

  private static final double MS_PER_SECOND = 1e3;

  private final List<DrainRate> arrivals = new ArrayList<>();
  private int grantsSinceKept;

  /** Records the arrival of a request that can be in time. */
  void recordArrival(int priority, long nowNanos) {
    while (arrivals.size() < FairQueue.PRIORITIES) {
      arrivals.add(new DrainRate(nowNanos, DECAY_SECONDS));
    }
    arrivals.get(priority).record(nowNanos);
  }

  /** Records a grant, and whether it took room that was kept. */
  void recordGrant(boolean wasKept) {
    grantsSinceKept = wasKept ? 0 : grantsSinceKept + 1;
  }

  /** Returns true if a request may take room that is kept for others, so that none starves. */
  boolean mayTakeKept() {
    return grantsSinceKept >= FairQueue.OTHERS_INTERVAL;
  }

  /**
   * Returns the number of requests expected to arrive within a time that are more urgent than a
   * priority.
   *
   * @param priority the priority, or {@link FairQueue#PRIORITIES} for all
   */
  double expectedBefore(int priority, double durationMs, long nowNanos) {
    return arrivalsPerSecond(priority, nowNanos) * durationMs / MS_PER_SECOND;
  }

  /**
   * Returns the number of slots that a request leaves free: the arrivals expected within a time
   * less the slots that become free, and the spread of both, but no more than the arrivals need if
   * no slot becomes free.
   *
   * @param freed the number of slots expected to become free within the time
   */
  double reserve(int priority, double durationMs, double freed, long nowNanos) {
    double expected = expectedBefore(priority, durationMs, nowNanos);
    if (expected <= 0) {
      return 0;
    }
    double most = expected + SPREAD * Math.sqrt(expected);
    return Math.max(0, Math.min(most, expected - freed + SPREAD * Math.sqrt(expected + freed)));
  }

  private double arrivalsPerSecond(int priority, long nowNanos) {
    double perSecond = 0;
    for (int i = 0; i < Math.min(priority, arrivals.size()); i++) {
      perSecond += arrivals.get(i).perSecond(nowNanos);
    }
    return perSecond;
  }
}
