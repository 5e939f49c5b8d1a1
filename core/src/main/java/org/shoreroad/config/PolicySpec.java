package org.shoreroad.config;

/**
 * The relative weight of the two goals: little downtime and few stranded accelerators.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param downtimeWeightPercent the weight of group downtime relative to stranded accelerators: 100
 *     counts only downtime, 0 only stranded accelerators
 * @since 0.1
 */
public record PolicySpec(int downtimeWeightPercent) implements ConfigEntry {
  private static final int FULL_PERCENT = 100;
  private static final int STANDBY_DIVISOR = 4;

  /** The key of the single policy entry. */
  public static final String KEY = "policy";

  /** The policy if operators declare none. */
  public static final PolicySpec DEFAULT = new PolicySpec(50);

  @Override
  public String key() {
    return KEY;
  }

  /**
   * Returns the number of standby replicas, which are kept loaded in addition to the wanted ones if
   * boxes are free.
   *
   * <p>Standby replicas serve requests like all others. When a box is lost, the wanted number of
   * replicas is still standing, so loading the next one causes no downtime. At full downtime weight
   * the number is a quarter of the wanted replicas, rounded up; at zero weight it is 0.
   *
   * @param replicas the number of wanted replicas, 0 or more
   */
  public int standbyReplicas(int replicas) {
    double share = downtimeWeightPercent / (double) FULL_PERCENT / STANDBY_DIVISOR;
    return (int) Math.ceil(replicas * share);
  }
}
