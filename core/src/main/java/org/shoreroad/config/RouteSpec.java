package org.shoreroad.config;

import java.util.List;

/**
 * A permission for client accounts to send requests of some kinds to a model or a service.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param name the route's name
 * @param accounts the accounts, or {@code *} for all
 * @param kinds the kinds, or {@code *} for all
 * @param target {@code model/NAME} or {@code service/NAME}
 * @since 0.1
 */
public record RouteSpec(String name, List<String> accounts, List<String> kinds, String target)
    implements ConfigEntry {
  /** The wildcard that matches every account or every kind. */
  public static final String ANY = "*";

  /** Copies the lists. */
  public RouteSpec {
    accounts = List.copyOf(accounts);
    kinds = List.copyOf(kinds);
  }

  @Override
  public String key() {
    return "route/" + name;
  }

  /** Returns true if the account may send requests of this kind to the target by this route. */
  public boolean allows(String account, String kind, String wantedTarget) {
    return target.equals(wantedTarget) && isListed(accounts, account) && isListed(kinds, kind);
  }

  private static boolean isListed(List<String> list, String name) {
    return list.contains(ANY) || list.contains(name);
  }
}
