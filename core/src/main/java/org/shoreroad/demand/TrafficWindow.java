package org.shoreroad.demand;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.ModelTraffic;

/**
 * Counts of the requests of this process in a sliding window of one second, by service and model.
 *
 * <p>The window consists of the last five complete intervals of 0.2 s, so that the counts of all
 * processes can be added up. Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class TrafficWindow {
  private static final int INTERVALS = 5;
  private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Maximum number of models counted at a time, which bounds the size of heartbeats. */
  private static final int MAX_MODELS = 64;

  private final Map<String, Counts> countsByKey = new HashMap<>();

  /** Counts a request that has arrived. */
  public void recordArrival(String service, String model, long promptTokens, long nowNanos) {
    Counts counts = countsOf(service, model, nowNanos);
    if (counts != null) {
      int interval = counts.advance(nowNanos);
      counts.arrived[interval]++;
      counts.promptTokens[interval] += Math.max(0, promptTokens);
    }
  }

  /** Counts a request that is refused for want of room or of a replica. */
  public void recordRefusal(String service, String model, long nowNanos) {
    Counts counts = countsOf(service, model, nowNanos);
    if (counts != null) {
      counts.refused[counts.advance(nowNanos)]++;
    }
  }

  /** Counts a request whose first event came after the target latency. */
  public void recordLate(String service, String model, long nowNanos) {
    Counts counts = countsOf(service, model, nowNanos);
    if (counts != null) {
      counts.late[counts.advance(nowNanos)]++;
    }
  }

  /**
   * Returns the counts of the window, without models that had no request in it.
   *
   * @param zone the availability zone of this process, not null
   * @param nowNanos the time on the steady clock, in nanoseconds
   */
  public List<ModelTraffic> traffic(String zone, long nowNanos) {
    List<ModelTraffic> traffic = new ArrayList<>();
    for (Counts counts : countsByKey.values()) {
      counts.advance(nowNanos);
      if (!counts.isEmpty()) {
        traffic.add(counts.toTraffic(zone));
      }
    }
    return traffic;
  }

  /** Returns the counts of the model, or null if too many other models had requests recently. */
  private @Nullable Counts countsOf(String service, String model, long nowNanos) {
    String key = service + "/" + model;
    Counts known = countsByKey.get(key);
    if (known != null) {
      return known;
    }
    if (countsByKey.size() >= MAX_MODELS) {
      countsByKey.values().removeIf(counts -> counts.isUnused(nowNanos));
    }
    if (countsByKey.size() >= MAX_MODELS) {
      return null;
    }
    Counts created = new Counts(service, model, nowNanos / INTERVAL_NANOS);
    countsByKey.put(key, created);
    return created;
  }

  /** Counts of one model: a ring of the complete intervals and the current one. */
  private static final class Counts {
    private final String service;
    private final String model;
    private final int[] arrived = new int[INTERVALS + 1];
    private final int[] refused = new int[INTERVALS + 1];
    private final int[] late = new int[INTERVALS + 1];
    private final long[] promptTokens = new long[INTERVALS + 1];
    private long current;

    Counts(String service, String model, long current) {
      this.service = service;
      this.model = model;
      this.current = current;
    }

    /** Clears the intervals that have begun since the last call; returns the current one. */
    int advance(long nowNanos) {
      long now = nowNanos / INTERVAL_NANOS;
      long begun = Math.min(INTERVALS + 1, now - current);
      for (long i = 0; i < begun; i++) {
        int index = indexOf(now - i);
        arrived[index] = 0;
        refused[index] = 0;
        late[index] = 0;
        promptTokens[index] = 0;
      }
      current = Math.max(current, now);
      return indexOf(current);
    }

    private static int indexOf(long interval) {
      return (int) Math.floorMod(interval, (long) INTERVALS + 1);
    }

    /** Returns true if no request was counted in the window. */
    boolean isEmpty() {
      ModelTraffic sum = toTraffic("");
      return sum.arrived() == 0 && sum.refused() == 0 && sum.late() == 0;
    }

    /** Returns true if no request was counted in the window or in the current interval. */
    boolean isUnused(long nowNanos) {
      int interval = advance(nowNanos);
      boolean isCurrentEmpty =
          arrived[interval] == 0 && refused[interval] == 0 && late[interval] == 0;
      return isCurrentEmpty && isEmpty();
    }

    /** Returns the sums of all intervals but the current one. */
    ModelTraffic toTraffic(String zone) {
      ModelTraffic sum = new ModelTraffic(service, model, zone, 0, 0, 0, 0);
      for (long interval = current - INTERVALS; interval < current; interval++) {
        int index = indexOf(interval);
        sum =
            sum.plus(
                new ModelTraffic(
                    service,
                    model,
                    zone,
                    arrived[index],
                    refused[index],
                    late[index],
                    promptTokens[index]));
      }
      return sum;
    }
  }
}
