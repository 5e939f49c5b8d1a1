package org.shoreroad.config;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.pcollections.TreePMap;

/**
 * All declared entries, by key.
 *
 * <p>This class is immutable and thread-safe; copies share structure, so one change costs the
 * logarithm of the size.
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

  /** Returns the plain service of this name. */
  public Optional<ServiceSpec> service(String name) {
    return find(ServiceSpec.class, "service/" + name);
  }

  /** Returns the labels of the box, empty if operators gave it none. */
  public BoxLabels boxLabels(String box) {
    return find(BoxLabels.class, "box/" + box).orElse(new BoxLabels(box, Map.of(), false));
  }

  /** Returns the policy, or {@link PolicySpec#DEFAULT}. */
  public PolicySpec policy() {
    return find(PolicySpec.class, PolicySpec.KEY).orElse(PolicySpec.DEFAULT);
  }

  /** Returns how many replicas of the model may stand, those on standby counted. */
  public int maxStandingReplicas(ModelSpec model) {
    return model.replicas() + policy().standbyReplicas(model.replicas());
  }

  /** Returns true if some route lets the account send the kind to the target. */
  public boolean isRouted(String account, String kind, String target) {
    return all(RouteSpec.class).stream().anyMatch(r -> r.isCovering(account, kind, target));
  }

  /**
   * Returns all entries of one type, ordered by key; the cost does not grow with other types.
   *
   * @param type the type, not null, but for the single policy
   * @return the entries
   */
  public <T extends ConfigEntry> List<T> all(Class<T> type) {
    String prefix = ConfigJson.prefix(type);
    // '0' follows '/', so this is every key of the type and no other.
    return entries.subMap(prefix + "/", prefix + "0").values().stream().map(type::cast).toList();
  }

  private <T extends ConfigEntry> Optional<T> find(Class<T> type, String key) {
    return Optional.ofNullable(entries.get(key)).map(type::cast);
  }
}
