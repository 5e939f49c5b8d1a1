package org.shoreroad.fleet;

import java.util.Objects;

/**
 * Requests for one model that callers of one availability zone sent within an interval.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param service the name of the service, not null
 * @param model the name of the model, not null
 * @param zone the availability zone of the processes that received the requests, not null
 * @param arrived the number of requests that arrived, 0 or more
 * @param refused the number of these that were refused because no replica had room, 0 or more
 * @param late the number of these whose first event came after the target latency, 0 or more
 * @since 0.2
 */
public record ModelTraffic(
    String service, String model, String zone, int arrived, int refused, int late) {
  /** Checks that no name is null and no number is negative. */
  public ModelTraffic {
    Objects.requireNonNull(service, "service");
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(zone, "zone");
    if (arrived < 0 || refused < 0 || late < 0) {
      throw new IllegalArgumentException(
          "negative count: " + arrived + ", " + refused + ", " + late);
    }
  }

  /** Returns the sum of this and other traffic of the same model and zone. */
  public ModelTraffic plus(ModelTraffic other) {
    return new ModelTraffic(
        service, model, zone, arrived + other.arrived, refused + other.refused, late + other.late);
  }
}
