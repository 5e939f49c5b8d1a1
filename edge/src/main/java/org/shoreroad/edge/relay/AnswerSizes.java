package org.shoreroad.edge.relay;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bytes that the answers of each route have needed lately, which are expected for the next ones.
 *
 * <p>No answer needs more than {@link #MAX_EXPECTED_BYTES}, since a larger one can be sent on while
 * its upstream is paused. The mean is used, so that a route with few large answers reserves little
 * for its small ones. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
final class AnswerSizes {
  /** One read from the upstream, and what the caller's connection takes before it is full. */
  static final long MAX_EXPECTED_BYTES = 131_072;

  /** Weight of a new answer in the mean. */
  private static final double WEIGHT = 1.0 / 16;

  private static final int MAX_ROUTES = 1_024;

  private final Map<String, Double> meanBytes =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Double> eldest) {
          return size() > MAX_ROUTES;
        }
      };

  /** Returns the bytes expected for an answer of the route, 0 if none has come yet. */
  long expectedBytes(String route) {
    return Math.round(meanBytes.getOrDefault(route, 0.0));
  }

  /** Records the size of a complete answer of the route. */
  void record(String route, long answerBytes) {
    double bytes = Math.min(MAX_EXPECTED_BYTES, answerBytes);
    meanBytes.merge(route, bytes, (mean, added) -> mean + WEIGHT * (added - mean));
  }
}
