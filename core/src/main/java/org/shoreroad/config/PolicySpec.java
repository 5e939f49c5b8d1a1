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
  private static final int FULL_PERCENT = 100;
  private static final int STANDBY_DIVISOR = 4;

  /** The key of the single policy entry. */
  public static final String KEY = "policy";

  /** The policy where operators declare none. */
  public static final PolicySpec DEFAULT = new PolicySpec(50);

  @Override
  public String key() {
    return KEY;
  }

  /**
   * Returns how many more replicas than wanted are kept loaded, where boxes are free for them.
   *
   * <p>They serve as the others do. When a box is lost, as many replicas as wanted still stand, and
   * the load of the next one is nobody's downtime. At the full weight it is a quarter more, rounded
   * up; at zero it is none.
   *
   * @param replicas how many are wanted, 0 or more
   */
  public int standbyReplicas(int replicas) {
    double share = downtimeWeightPercent / (double) FULL_PERCENT / STANDBY_DIVISOR;
    return (int) Math.ceil(replicas * share);
  }
}
