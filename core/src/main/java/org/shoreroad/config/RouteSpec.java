package org.shoreroad.config;

import java.util.List;

/**
 * Lets client accounts send request kinds to a model or a plain service.
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
  /** Stands for every account or every kind. */
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

  /** Returns true if this route covers the account, the kind and the target. */
  public boolean isCovering(String account, String kind, String wantedTarget) {
    return target.equals(wantedTarget) && isListed(accounts, account) && isListed(kinds, kind);
  }

  private static boolean isListed(List<String> list, String name) {
    return list.contains(ANY) || list.contains(name);
  }
}
