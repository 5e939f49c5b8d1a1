package org.shoreroad.fleet;

import java.util.Objects;

/**
 * Requests for one model that callers of one availability zone sent within one second, the last
 * complete one at the process that counted them.
 *
 * <p>A caller that is refused and sends its request again counts as another arrival, since its
 * tries may reach different processes.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param service the name of the service, not null
 * @param model the name of the model, not null
 * @param zone the availability zone of the processes that received the requests, not null
 * @param arrived the number of requests that arrived, 0 or more
 * @param refused the number of requests that were refused for want of room or of a replica, 0 or
 *     more
 * @param late the number of requests whose first event came after the target latency, 0 or more
 * @param promptTokens the prompt tokens of the requests that arrived, 0 or more
 * @since 0.2
 */
public record ModelTraffic(
    String service,
    String model,
    String zone,
    int arrived,
    int refused,
    int late,
    long promptTokens) {
  /** Checks that no name is null and no number is negative. */
  public ModelTraffic {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(zone, "zone");
    if (arrived < 0 || refused < 0 || late < 0 || promptTokens < 0) {
      throw new IllegalArgumentException(
          "negative count: " + arrived + ", " + refused + ", " + late + ", " + promptTokens);
    }
  }

  /**
   * Returns the sum of this and other traffic of the same model and zone. A sum that is too large
   * for its type is the largest value of it.
   */
  public ModelTraffic plus(ModelTraffic other) {
    return new ModelTraffic(
        service,
        model,
        zone,
        sum(arrived, other.arrived),
        sum(refused, other.refused),
        sum(late, other.late),
        sum(promptTokens, other.promptTokens));
  }

  private static int sum(int one, int other) {
    return (int) Math.min(Integer.MAX_VALUE, (long) one + other);
  }

  private static long sum(long one, long other) {
    return one > Long.MAX_VALUE - other ? Long.MAX_VALUE : one + other;
  }
}
