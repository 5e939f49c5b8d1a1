package org.shoreroad.daemon.gateway;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * The steps of the most recent requests at this gateway, for operators.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class RequestTrace {
  private static final int MAX_REQUESTS = 10_000;
  private static final int MAX_STEPS = 32;

  private final Map<String, List<Step>> stepsById =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<Step>> eldest) {
          return size() > MAX_REQUESTS;
        }
      };

  /**
   * One step of a request.
   *
   * @param atNanos the time of the step, in nanoseconds of the monotonic clock
   * @param what the description of the step
   */
  public record Step(long atNanos, String what) {}

  /** Creates an empty trace. */
  @Inject
  public RequestTrace() {}

  /** Records a step of a request; steps above the limit for one request are dropped. */
  public synchronized void add(String requestId, String what) {
    List<Step> steps = stepsById.computeIfAbsent(requestId, id -> new ArrayList<>(4));
    if (steps.size() < MAX_STEPS) {
      steps.add(new Step(System.nanoTime(), what));
    }
  }

  /** Returns the steps of a request, or empty if it is unknown or no longer recorded. */
  public synchronized Optional<List<Step>> find(String requestId) {
    return Optional.ofNullable(stepsById.get(requestId)).map(List::copyOf);
  }
}
