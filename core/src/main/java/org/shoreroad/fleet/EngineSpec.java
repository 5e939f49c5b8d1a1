package org.shoreroad.fleet;

import java.util.List;
import java.util.Optional;

/**
 * Performance figures of the engines of a service.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param slots the number of requests that a replica runs concurrently
 * @param kvCapacityTokens the capacity of a replica's key-value cache, in tokens
 * @param stepMs the time of one token step, in milliseconds
 * @param perSequenceMs the time that each running request adds to a step, in milliseconds
 * @param contextMsPerKiloToken the time that 1,000 tokens of context add to a step, in milliseconds
 * @param promptTokensPerSecond the rate at which prompts are processed, in tokens per second
 * @param chunkTokens the maximum number of prompt tokens processed in one step
 * @param stepsPerPass the number of steps between two checks for waiting requests
 * @param loadsPerSecond the number of loads from the weight store that may begin in a second, over
 *     all boxes
 * @param loadsAtOnce the number of loads that may run concurrently at full speed, over all boxes
 * @param reportLagMs the age of the state that an engine reports, in milliseconds
 * @param models the models of the service
 * @since 0.2
 */
public record EngineSpec(
    int slots,
    long kvCapacityTokens,
    double stepMs,
    double perSequenceMs,
    double contextMsPerKiloToken,
    double promptTokensPerSecond,
    int chunkTokens,
    int stepsPerPass,
    double loadsPerSecond,
    int loadsAtOnce,
    int reportLagMs,
    List<ModelShape> models) {
  /** Creates a specification with a copy of the list. */
  public EngineSpec {
    models = List.copyOf(models);
  }

  /** Returns the model of the name, or empty if it is not declared. */
  public Optional<ModelShape> findModel(String name) {
    for (ModelShape model : models) {
      if (model.name().equals(name)) {
        return Optional.of(model);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the time of one pass, which is the time between two checks for waiting requests.
   *
   * @param model the model, not null
   * @param running the number of running requests
   * @param waitingPromptTokens the number of prompt tokens that wait to be processed
   * @return the time in milliseconds
   */
  public double passMs(ModelShape model, int running, long waitingPromptTokens) {
    double stepsMs = stepsPerPass * (stepMs + Math.min(slots, running) * perSequenceMs);
    long readTokens = Math.min(waitingPromptTokens, (long) stepsPerPass * chunkTokens);
    double readMs = readTokens == 0 ? 0 : readTokens / promptTokensPerSecond * 1e3;
    return (stepsMs + readMs) * model.paceFactor();
  }
}
