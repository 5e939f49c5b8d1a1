package org.shoreroad.fleet;

import java.util.Objects;

/**
 * What a replica of one model needs.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the model's name, not null
 * @param boxes the number of boxes that a replica spans, at least 1
 * @param share the part of the boxes that the model's load takes, from 0 to 1
 * @param paceFactor the factor on all times of the engine
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
  /** Checks the name and the number. */
  public ModelShape {
    Objects.requireNonNull(name, "name");
    if (boxes < 1) {
      throw new IllegalArgumentException("model " + name + " spans no box");
    }
  }
}
