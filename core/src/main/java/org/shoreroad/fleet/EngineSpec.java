package org.shoreroad.fleet;

import java.util.List;
import java.util.Optional;

/**
 * The figures by which the engines of a service work.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param slots the requests that a replica runs at once
 * @param kvCapacityTokens the tokens that a replica's memory holds
 * @param stepMs the time of one token step, in milliseconds
 * @param perSequenceMs what each running request adds to a step, in milliseconds
 * @param contextMsPerKiloToken what 1,000 tokens of context add to a step, in milliseconds
 * @param promptTokensPerSecond how fast prompts are read
 * @param chunkTokens the most prompt tokens read in one step
 * @param stepsPerPass the steps between two looks at what waits
 * @param loadsPerSecond the loads from the weight store that may begin in a second, in all
 * @param loadsAtOnce the loads that may run at a time at full speed, in all
 * @param reportLagMs how old the state is that an engine reports, in milliseconds
 * @param models the models, with what a replica of each needs
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
  /** Copies the list. */
  public EngineSpec {
    models = List.copyOf(models);
  }

  /** Returns the shape of the model, or empty if it is not declared. */
  public Optional<ModelShape> findModel(String name) {
    for (ModelShape model : models) {
      if (model.name().equals(name)) {
        return Optional.of(model);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns how long one pass takes with what runs and waits.
   *
   * @param model the model that runs
   * @param running the requests that run
   * @param waitingPromptTokens the tokens of prompts that wait to be read
   * @return the time in milliseconds
   */
  public double passMs(ModelShape model, int running, long waitingPromptTokens) {
    double stepsMs = stepsPerPass * (stepMs + Math.min(slots, running) * perSequenceMs);
    long readTokens = Math.min(waitingPromptTokens, (long) stepsPerPass * chunkTokens);
    return (stepsMs + readTokens / promptTokensPerSecond * 1e3) * model.paceFactor();
  }
}
