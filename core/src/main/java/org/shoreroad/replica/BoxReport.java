package org.shoreroad.replica;

import java.util.List;

/**
 * What a box's engine answered to one probe.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param bootId the id that the engine took at its start
 * @param loads what is loaded or being loaded
 * @param runningCount how many requests run there, by the engine's lagging count
 * @since 0.1
 */
public record BoxReport(String bootId, List<Load> loads, int runningCount) {
  /** Copies the list. */
  public BoxReport {
    loads = List.copyOf(loads);
  }

  /**
   * One model that is loaded or being loaded.
   *
   * @param name the name it is loaded under
   * @param isReady whether it is loaded
   * @param runningCount how many requests run on it
   */
  public record Load(String name, boolean isReady, int runningCount) {}
}
