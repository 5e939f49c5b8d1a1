package org.shoreroad.config;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pcollections.TreePMap;

/**
 * A set of declared entries.
 *
 * <p>This class is immutable and thread-safe. Copies share structure, so a change of one entry
 * takes time logarithmic in the number of entries.
 *
 * @param entries the entries by key
 * @since 0.1
 */
public record Configuration(TreePMap<String, ConfigEntry> entries) {
  /** The configuration without any entry. */
  public static final Configuration EMPTY = new Configuration(TreePMap.empty());

  /**
   * Returns the configuration that holds the entries.
   *
   * @param entries the entries, not null; a later one replaces an earlier one with the same key
   * @return the configuration
   */
  public static Configuration of(Collection<? extends ConfigEntry> entries) {
    Configuration result = EMPTY;
    for (ConfigEntry entry : entries) {
      result = result.withEntry(entry);
    }
    return result;
  }

  /** Returns a copy with the entry added or replaced. */
  public Configuration withEntry(ConfigEntry entry) {
    return new Configuration(entries.plus(entry.key(), entry));
  }

  /** Returns a copy without the key. */
  public Configuration withoutEntry(String key) {
    return new Configuration(entries.minus(key));
  }

  /** Returns the model of this name. */
  public Optional<ModelSpec> model(String name) {
    return find(ModelSpec.class, "model/" + name);
  }

  /** Returns the client account of this name. */
  public Optional<AccountSpec> account(String name) {
    return find(AccountSpec.class, "account/" + name);
  }

  /** Returns the request kind of this name. */
  public Optional<KindSpec> kind(String name) {
    return find(KindSpec.class, "kind/" + name);
  }

  /** Returns the service of this name. */
  public Optional<ServiceSpec> service(String name) {
    return find(ServiceSpec.class, "service/" + name);
  }

  /** Returns the labels of the box, or empty labels if none are declared. */
  public BoxLabels boxLabels(String box) {
    return find(BoxLabels.class, "box/" + box).orElse(new BoxLabels(box, Map.of(), false));
  }

  /** Returns the policy, or {@link PolicySpec#DEFAULT} if none is declared. */
  public PolicySpec policy() {
    return find(PolicySpec.class, PolicySpec.KEY).orElse(PolicySpec.DEFAULT);
  }

  /** Returns the maximum number of standing replicas of the model, including standby replicas. */
  public int maxStandingReplicas(ModelSpec model) {
    return model.replicas() + policy().standbyReplicas(model.replicas());
  }

  /** Returns true if a route allows the account to send requests of the kind to the target. */
  public boolean isRouted(String account, String kind, String target) {
    return all(RouteSpec.class).stream().anyMatch(r -> r.allows(account, kind, target));
  }

  /**
   * Returns all entries of one type, ordered by key. The cost does not depend on other types.
   *
   * @param type the type, not null and not {@link PolicySpec}, whose single key has no slash
   * @return the entries
   */
  public <T extends ConfigEntry> List<T> all(Class<T> type) {
    String prefix = ConfigJson.prefix(type);
    // '0' is the character after '/', so the range contains exactly the keys of the type.
    return entries.subMap(prefix + "/", prefix + "0").values().stream().map(type::cast).toList();
  }

  private <T extends ConfigEntry> Optional<T> find(Class<T> type, String key) {
    return Optional.ofNullable(entries.get(key)).map(type::cast);
  }
}
