package org.shoreroad.traffic;

import java.util.Objects;
import java.util.Set;

/**
 * A client account with the keys its callers show.
 *
 * <p>This class is immutable and thread-safe. Its text form leaves the keys out.
 *
 * @param name the account's name, not null
 * @param keys the keys in force
 * @param priority the rank of its requests, which goes before the route's, or -1 for the route's
 * @since 0.2
 */
public record ClientAccount(String name, Set<String> keys, int priority) {
  /** Stands for an account that leaves the rank to the route. */
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
