package org.shoreroad.traffic;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Configuration by operators in one version: routes, services, accounts and limits.
 *
 * <p>A new version replaces the old one completely. This class is immutable and thread-safe.
 *
 * @since 0.2
 */
public final class TrafficConfig {
  private static final Comparator<Route> LONGEST_PREFIX_FIRST =
      Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed();

  private final long version;
  private final Map<String, List<Route>> routesByHost;
  private final Map<String, UpstreamService> services;
  private final Map<String, ClientAccount> accountsByKey;
  private final boolean hasAccounts;
  private final CallerLimits limits;

  private TrafficConfig(
      long version,
      Map<String, List<Route>> routesByHost,
      Map<String, UpstreamService> services,
      @Nullable Collection<ClientAccount> accounts,
      CallerLimits limits) {
    this.version = version;
    this.routesByHost = routesByHost;
    this.services = services;
    this.accountsByKey = byKey(accounts == null ? List.of() : accounts);
    this.hasAccounts = accounts != null;
    this.limits = limits;
  }

  /**
   * Creates a configuration.
   *
   * @param version the number of the version, which increases with each change
   * @param routes the routes, not null
   * @param services the services, not null
   * @param accounts the accounts, or null if callers need no keys
   * @param limits the limits for callers, not null
   * @return the configuration
   */
  public static TrafficConfig of(
      long version,
      Collection<Route> routes,
      Collection<UpstreamService> services,
      @Nullable Collection<ClientAccount> accounts,
      CallerLimits limits) {
    Map<String, List<Route>> byHost = new HashMap<>();
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new ArrayList<>()).add(route);
    }
    byHost.values().forEach(list -> list.sort(LONGEST_PREFIX_FIRST));
    Map<String, UpstreamService> byName = new HashMap<>();
    services.forEach(service -> byName.put(service.name(), service));
    return new TrafficConfig(version, byHost, byName, accounts, limits);
  }

  /** Returns the number of this version. */
  public long version() {
    return version;
  }

  /** Returns the limits for callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns all services. */
  public Collection<UpstreamService> services() {
    return services.values();
  }

  /** Returns the service with the name, or empty if there is none. */
  public Optional<UpstreamService> findService(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /**
   * Returns the route with the longest matching path prefix.
   *
   * @param host the host name in the request, with or without a port, in any case
   * @param path the path, with or without a query
   * @return the route, or empty if none matches
   */
  public Optional<Route> findRoute(String host, String path) {
    List<Route> candidates = routesByHost.getOrDefault(toHostName(host), List.of());
    return candidates.stream().filter(route -> path.startsWith(route.pathPrefix())).findFirst();
  }

  /** Returns true if callers must send the key of an account. */
  public boolean hasAccounts() {
    return hasAccounts;
  }

  /** Returns the account with the key, or empty if there is none. */
  public Optional<ClientAccount> findAccount(String key) {
    return Optional.ofNullable(accountsByKey.get(key));
  }

  private static String toHostName(String host) {
    int colon = host.lastIndexOf(':');
    String name = colon < 0 ? host : host.substring(0, colon);
    return name.toLowerCase(Locale.ROOT);
  }

  private static Map<String, ClientAccount> byKey(Collection<ClientAccount> accounts) {
    Map<String, ClientAccount> byKey = new HashMap<>();
    for (ClientAccount account : accounts) {
      account.keys().forEach(key -> byKey.put(key, account));
    }
    return byKey;
  }
}
