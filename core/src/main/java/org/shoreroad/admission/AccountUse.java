package org.shoreroad.admission;

import java.util.HashMap;
import java.util.Map;

/**
 * Share of the engines that the grants of each client account hold.
 *
 * <p>Not thread-safe.
 */
final class AccountUse {
  private static final double PPM = 1e6;

  private final Map<String, Long> ppmByAccount = new HashMap<>();
  private long totalPpm;

  /** Returns a share of an engine in millionths, at least 1. */
  static long toPpm(double share) {
    return Math.max(1, (long) (share * PPM));
  }

  void add(String account, long ppm) {
    ppmByAccount.merge(account, ppm, Long::sum);
    totalPpm += ppm;
  }

  void remove(String account, long ppm) {
    ppmByAccount.computeIfPresent(account, (name, held) -> held > ppm ? held - ppm : null);
    totalPpm -= ppm;
  }

  /** Returns the share that the grants of an account hold, in millionths of an engine. */
  double sharePpm(String account) {
    return ppmByAccount.getOrDefault(account, 0L);
  }

  /** Returns true if an account holds more than the mean of the accounts that hold any. */
  boolean isOverShare(String account) {
    return sharePpm(account) * ppmByAccount.size() > totalPpm;
  }
}
