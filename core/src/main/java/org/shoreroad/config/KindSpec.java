package org.shoreroad.config;

/**
 * A request kind.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the kind's name, as callers send it in {@code X-Request-Kind}
 * @param priority the priority, 0 (first) to 9 (last)
 * @param isRepeatable whether a request of this kind may be run more than once
 * @param costWeight the factor by which the tokens of this kind are counted, 1 or more
 * @param deadlineMs the maximum wait before a request is started, in milliseconds, positive
 * @since 0.1
 */
public record KindSpec(
    String name, int priority, boolean isRepeatable, int costWeight, long deadlineMs)
    implements ConfigEntry {
  @Override
  public String key() {
    return "kind/" + name;
  }
}
