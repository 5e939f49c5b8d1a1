package org.shoreroad.traffic;

import java.util.Objects;
import java.util.Set;

/**
 * Client account with the keys of its callers.
 *
 * <p>This class is immutable and thread-safe. Its text form leaves the keys out.
 *
 * @param name the name of the account, not null
 * @param keys the valid keys
 * @param priority the priority of its requests, which overrides the route's, or {@link
 *     #NO_PRIORITY} for the route's
 * @since 0.2
 */
public record ClientAccount(String name, Set<String> keys, int priority) {
  /** Value for an account whose requests have the priority of the route. */
  public static final int NO_PRIORITY = -1;

  /** Copies the keys. */
  public ClientAccount {
    Objects.requireNonNull(name, "name");
    keys = Set.copyOf(keys);
  }

  @Override
  public String toString() {
    return "ClientAccount[" + name + ", " + keys.size() + " keys]";
  }
}
