package org.shoreroad.edge.sync;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map with a limited number of entries. When it is full, a new entry replaces the one that was
 * added first.
 *
 * <p>It bounds the state kept per upstream, which would otherwise grow with every id that was ever
 * in the list. Not thread-safe.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the values
 * @since 0.2
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1;

  private final int maxEntries;

  /**
   * Creates an empty map.
   *
   * @param maxEntries the maximum number of entries, greater than 0
   */
  public BoundedMap(int maxEntries) {
    if (maxEntries <= 0) {
      throw new IllegalArgumentException("maxEntries " + maxEntries);
    }
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
