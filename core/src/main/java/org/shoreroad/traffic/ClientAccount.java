package org.shoreroad.traffic;

import java.util.Set;
import org.shoreroad.http.HeaderText;
import org.shoreroad.http.HeaderTextFault;

/**
 * Client account with the keys of its callers.
 *
 * <p>This class is immutable and thread-safe. Its text form leaves the keys out.
 *
 * @param name the name of the account, which upstreams receive in a header, not null
 * @param keys the valid keys, which callers send in a header, not null
 * @param priority the priority of its requests, which overrides the route's, or {@link
 *     #NO_PRIORITY} for the route's
 * @since 0.2
 */
public record ClientAccount(String name, Set<String> keys, int priority) {
  /** Value for an account whose requests have the priority of the route. */
  public static final int NO_PRIORITY = -1;

  /**
   * Copies the keys.
   *
   * @throws IllegalArgumentException if the value of a header can't carry the name or a key
   */
  public ClientAccount {
    requireHeaderText(name, "name");
    keys = Set.copyOf(keys);
    keys.forEach(key -> requireHeaderText(key, "key"));
  }

  private static void requireHeaderText(String text, String what) {
    HeaderTextFault fault = HeaderText.findFault(text);
    if (fault != null) {
      throw new IllegalArgumentException("no header can carry the " + what + ": " + fault.code());
    }
  }

  @Override
  public String toString() {
    return "ClientAccount[" + name + ", " + keys.size() + " keys]";
  }
}
