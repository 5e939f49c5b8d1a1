package org.shoreroad.config;

import java.util.Map;

/**
 * A model and the boxes that may hold its replicas.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the model's name, as callers send it
 * @param version the version of the weights to load
 * @param boxesPerReplica how many boxes form one replica, 1 or more
 * @param replicas how many replicas are wanted, 0 or more
 * @param sameFabricDomain whether all boxes of a replica must share a fabric domain
 * @param boxSelector the labels a box must carry, each with this value
 * @param maxRunning how many requests one replica runs at a time, 1 or more
 * @param maxQueued how many requests wait at one replica at most, 0 or more
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
   * Returns true if a box with these labels may hold a replica of this model.
   *
   * @param labels the labels of the box, not null
   * @return true if every label of the selector is there with its value
   */
  public boolean matchesLabels(Map<String, String> labels) {
    return boxSelector.entrySet().stream()
        .allMatch(wanted -> wanted.getValue().equals(labels.get(wanted.getKey())));
  }
}
