package org.shoreroad.edge.relay;

import org.jspecify.annotations.Nullable;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/**
 * Decision whether a request is admitted, with its route, its client account and its service, or
 * the reason why it is refused.
 *
 * <p>A key that the configuration lacks is refused permanently only if the configuration is proved
 * to be the newest, because another process may already have a newer one that holds the key. A key
 * that the configuration holds is refused temporarily while the proof that it was not revoked is
 * too old. This class is immutable and thread-safe.
 *
 * @param route the route, or null if none matches
 * @param account the client account, or null for an anonymous caller
 * @param service the service, or null if the configuration lacks it
 * @param refusal why the request is refused, or null if it is admitted
 */
record Admission(
    @Nullable Route route,
    @Nullable ClientAccount account,
    @Nullable UpstreamService service,
    @Nullable Refusal refusal) {
  /** Checks that an admitted request has a route. */
  Admission {
    if (route == null && refusal == null) {
      throw new IllegalArgumentException("neither a route nor a refusal");
    }
  }

  /**
   * Decides on a request.
   *
   * @param configurationSource the configuration and the age of its proof, not null
   * @param host the host that the caller requested, not null
   * @param uri the path and the query, not null
   * @param key the caller's API key, or an empty string if there is none
   * @param draw a random number from 0 to 1 that selects one of the services of a route
   */
  static Admission of(
      ConfigurationSource configurationSource, String host, String uri, String key, double draw) {
    TrafficConfig config = configurationSource.config();
    if (config == null) {
      return new Admission(null, null, null, Refusal.NO_CONFIGURATION);
    }
    Route route = config.findRoute(host, uri).orElse(null);
    if (route == null) {
      return new Admission(null, null, null, Refusal.NO_ROUTE);
    }
    UpstreamService service = config.findService(route.chooseService(draw)).orElse(null);
    if (!config.hasAccounts()) {
      return new Admission(route, null, service, null);
    }
    ClientAccount account = config.findAccount(key).orElse(null);
    if (account == null && !route.allowsAnonymous()) {
      Refusal refusal = configurationSource.isProved() ? Refusal.UNKNOWN_KEY : Refusal.KEYS_TOO_OLD;
      return new Admission(route, null, service, refusal);
    }
    boolean isTooOld = account != null && !configurationSource.mayTrustKeys();
    return new Admission(route, account, service, isTooOld ? Refusal.KEYS_TOO_OLD : null);
  }
}
