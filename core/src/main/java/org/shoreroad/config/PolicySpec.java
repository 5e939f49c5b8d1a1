package org.shoreroad.config;

/**
 * How operators weigh their two measures.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param downtimeWeightPercent how much group downtime counts against stranded accelerators: 100
 *     counts only downtime, 0 only stranded accelerators
 * @since 0.1
 */
public record PolicySpec(int downtimeWeightPercent) implements ConfigEntry {
  /** The key of the single policy entry. */
  public static final String KEY = "policy";

  /** The policy where operators declare none. */
  public static final PolicySpec DEFAULT = new PolicySpec(50);

  @Override
  public String key() {
    return KEY;
  }
}
