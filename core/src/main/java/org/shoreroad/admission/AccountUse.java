package org.shoreroad.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Engine time that the grants of each client account hold.
 *
 * <p>Not thread-safe.
 */
final class AccountUse {
  private final Map<String, Long> microsByAccount = new HashMap<>();
  private long totalMicros;

  void add(String account, long micros) {
    microsByAccount.merge(account, micros, Long::sum);
    totalMicros += micros;
  }

  void remove(String account, long micros) {
    microsByAccount.computeIfPresent(account, (name, held) -> held > micros ? held - micros : null);
    totalMicros -= micros;
  }

  /** Returns the time that the grants of an account hold, in microseconds. */
  double micros(String account) {
    return microsByAccount.getOrDefault(account, 0L);
  }

  /** Returns true if an account holds more than the mean of the accounts that hold any. */
  boolean isOverShare(String account) {
    return micros(account) * microsByAccount.size() > totalMicros;
  }
}
