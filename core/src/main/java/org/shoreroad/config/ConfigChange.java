package org.shoreroad.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The difference between two configurations.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param upserts the entries to add or replace
 * @param removals the keys to remove
 * @since 0.1
 */
public record ConfigChange(List<ConfigEntry> upserts, List<String> removals) {
  /** Copies the lists. */
  public ConfigChange {
    upserts = List.copyOf(upserts);
    removals = List.copyOf(removals);
  }

  /**
   * Returns the change that turns one configuration into another.
   *
   * @param from the old configuration, not null
   * @param to the new configuration, not null
   * @return the change, ordered by key
   */
  public static ConfigChange between(Configuration from, Configuration to) {
    List<ConfigEntry> upserts = new ArrayList<>();
    List<String> removals = new ArrayList<>();
    Set<String> keys = new TreeSet<>(from.entries().keySet());
    keys.addAll(to.entries().keySet());
    for (String key : keys) {
      ConfigEntry after = to.entries().get(key);
      if (after == null) {
        removals.add(key);
      } else if (!after.equals(from.entries().get(key))) {
        upserts.add(after);
      }
    }
    return new ConfigChange(upserts, removals);
  }

  /** Returns true if the change has neither upserts nor removals. */
  public boolean isEmpty() {
    return upserts.isEmpty() && removals.isEmpty();
  }

  /** Returns the keys of all entries that this change adds, replaces or removes. */
  public Set<String> keys() {
    Set<String> keys = new TreeSet<>(removals);
    upserts.forEach(entry -> keys.add(entry.key()));
    return keys;
  }

  /** Returns a copy of the configuration with this change applied. */
  public Configuration applyTo(Configuration configuration) {
    Configuration result = configuration;
    for (ConfigEntry entry : upserts) {
      result = result.withEntry(entry);
    }
    for (String key : removals) {
      result = result.withoutEntry(key);
    }
    return result;
  }
}
