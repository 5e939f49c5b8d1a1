package org.shoreroad;

import java.util.Objects;

/**
 * The name that a model is loaded under on one box: model, generation and the order's own number.
 *
 * <p>This name is the fence for engines that ignore fencing numbers. Each <em>physical sending</em>
 * of a load order carries a name that no other sending carries, and a request names what a
 * read-back has shown. So a late request names something that is no longer loaded, and a late order
 * loads something that nobody names.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param model the declared model, not empty, without {@code ~}
 * @param generation the generation's number, positive
 * @param orderNumber the number of this sending of the order, unique for ever
 * @since 0.1
 */
public record LoadName(String model, long generation, String orderNumber) {
  private static final String SEPARATOR = "~";

  /** Checks the parts. */
  public LoadName {
    Objects.requireNonNull(model, "model");
    Objects.requireNonNull(orderNumber, "orderNumber");
    if (model.isEmpty() || model.contains(SEPARATOR) || orderNumber.contains(SEPARATOR)) {
      throw new IllegalArgumentException("not a load name: " + model + " " + orderNumber);
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
      throw new IllegalArgumentException("not a load name: " + text);
    }
    return new LoadName(parts[0], Long.parseLong(parts[1]), parts[2]);
  }

  /** Returns true if the text is the name of a load for the generation. */
  public static boolean isForGeneration(String text, long generation) {
    return text.contains(SEPARATOR + generation + SEPARATOR);
  }

  /** Returns the text form, such as {@code tremor~118~n1-4f}. */
  @Override
  public String toString() {
    return model + SEPARATOR + generation + SEPARATOR + orderNumber;
  }
}
