package org.shoreroad.config;

import java.util.Map;

/**
 * The labels that operators gave a box.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param box the box's name
 * @param labels the labels
 * @param isDraining whether operators want the box out of service
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

  /** Returns a copy that is, or is not, draining. */
  public BoxLabels withDraining(boolean draining) {
    return new BoxLabels(box, labels, draining);
  }
}
