package org.shoreroad;

import java.util.Objects;

/**
 * The name under which a model is loaded on one box: model, generation and number of the load
 * order.
 *
 * <p>The name provides fencing for engines that ignore fencing numbers. Each transmission of a load
 * order, including each retry, has a unique name, and a request uses the name that the engine
 * reported after the load. So a delayed request refers to a load that no longer exists, and a
 * delayed order creates a load that no request refers to.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param model the name of the model, not empty, without {@code ~}
 * @param generation the generation's number, positive
 * @param orderNumber the number of this transmission of the order, never reused
 * @since 0.1
 */
public record LoadName(String model, long generation, String orderNumber) {
  private static final String SEPARATOR = "~";

  /** Checks the components. */
  public LoadName {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(orderNumber, "orderNumber");
    if (model.isEmpty() || model.contains(SEPARATOR) || orderNumber.contains(SEPARATOR)) {
      throw new IllegalArgumentException("malformed load name: " + model + " " + orderNumber);
    }
  }

  /**
   * Parses the text form.
   *
   * @param text the text form, not null
   * @return the name
   * @throws IllegalArgumentException if the text is not a load name
   */
  public static LoadName parse(String text) {
    String[] parts = text.split(SEPARATOR, -1);
    if (parts.length != 3) {
      throw new IllegalArgumentException("malformed load name: " + text);
    }
    return new LoadName(parts[0], Long.parseLong(parts[1]), parts[2]);
  }

  /** Returns true if the text is the text form of a load name for the generation. */
  public static boolean isForGeneration(String text, long generation) {
    return text.contains(SEPARATOR + generation + SEPARATOR);
  }

  /** Returns the text form, such as {@code tremor~118~n1-4f}. */
  @Override
  public String toString() {
    return model + SEPARATOR + generation + SEPARATOR + orderNumber;
  }
}
