package org.shoreroad.config;

import java.util.Map;

/**
 * A model, its wanted replicas and the boxes that they may use.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the model's name, as callers send it
 * @param version the version of the weights to load
 * @param boxesPerReplica the number of boxes of one replica, 1 or more
 * @param replicas the number of wanted replicas, 0 or more
 * @param sameFabricDomain whether all boxes of a replica must share a fabric domain
 * @param boxSelector the labels that a box must have, with their values
 * @param maxRunning the maximum number of requests that one replica runs at a time, 1 or more
 * @param maxQueued the maximum number of requests that wait at one replica, 0 or more
 * @since 0.1
 */
public record ModelSpec(
    String name,
    String version,
    int boxesPerReplica,
    int replicas,
    boolean sameFabricDomain,
    Map<String, String> boxSelector,
    int maxRunning,
    int maxQueued)
    implements ConfigEntry {
  /** Copies the selector. */
  public ModelSpec {
    boxSelector = Map.copyOf(boxSelector);
  }

  @Override
  public String key() {
    return "model/" + name;
  }

  /**
   * Returns true if a replica of this model may use a box with these labels.
   *
   * @param labels the labels of the box, not null
   * @return true if every label of the selector is present with its value
   */
  public boolean matchesLabels(Map<String, String> labels) {
    return boxSelector.entrySet().stream()
        .allMatch(wanted -> wanted.getValue().equals(labels.get(wanted.getKey())));
  }
}
