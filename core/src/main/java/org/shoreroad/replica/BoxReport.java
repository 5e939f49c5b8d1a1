package org.shoreroad.replica;

import java.util.List;

/**
 * Answer of a box's engine to one probe.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param bootId the id that the engine chose at its start
 * @param loads the models that are loaded or being loaded
 * @param runningCount the number of running requests as the engine counts them; it lags behind
 * @since 0.1
 */
public record BoxReport(String bootId, List<Load> loads, int runningCount) {
  /** Copies the list. */
  public BoxReport {
    loads = List.copyOf(loads);
  }

  /**
   * Model that is loaded or being loaded.
   *
   * @param name the load name
   * @param isReady whether the model is loaded completely
   * @param runningCount the number of requests that run on it
   */
  public record Load(String name, boolean isReady, int runningCount) {}
}
