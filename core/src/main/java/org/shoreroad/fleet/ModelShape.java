package org.shoreroad.fleet;

import java.util.Objects;

/**
 * Size and load times of the replicas of one model.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the model's name, not null
 * @param boxes the number of boxes that a replica spans, at least 1
 * @param share the share of all boxes that the model needs for its load, from 0 to 1
 * @param paceFactor the factor for all times of the engine
 * @param loadSeconds the time to load the weights from the weight store, in seconds
 * @param warmSeconds the time to load the weights from the box's own host, in seconds
 * @since 0.2
 */
public record ModelShape(
    String name,
    int boxes,
    double share,
    double paceFactor,
    double loadSeconds,
    double warmSeconds) {
  /**
   * Creates a model.
   *
   * @throws IllegalArgumentException if a replica has no box
   */
  public ModelShape {
    Objects.requireNonNull(name, "name");
    if (boxes < 1) {
      throw new IllegalArgumentException("model " + name + " needs at least one box per replica");
    }
  }
}
