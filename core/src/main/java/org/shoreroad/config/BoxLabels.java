package org.shoreroad.config;

import java.util.Map;

/**
 * The labels and the draining flag that operators set for a box.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param box the box's name
 * @param labels the labels
 * @param isDraining whether the box is to be taken out of service
 * @since 0.1
 */
public record BoxLabels(String box, Map<String, String> labels, boolean isDraining)
    implements ConfigEntry {
  /** Copies the labels. */
  public BoxLabels {
    labels = Map.copyOf(labels);
  }

  @Override
  public String key() {
    return "box/" + box;
  }

  /** Returns a copy with the draining flag set to this value. */
  public BoxLabels withDraining(boolean draining) {
    return new BoxLabels(box, labels, draining);
  }
}
