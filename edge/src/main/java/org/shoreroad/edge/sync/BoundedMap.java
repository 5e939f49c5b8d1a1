package org.shoreroad.edge.sync;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that holds a limited number of entries and drops the one that was added first when another
 * one comes.
 *
 * <p>It keeps what is remembered per upstream from growing with every id that ever stood in the
 * list. Not thread-safe.
 *
 * @param <K> the keys
 * @param <V> the values
 * @since 0.2
 */
public final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1;

  private final int maxEntries;

  /**
   * Creates an empty map.
   *
   * @param maxEntries the largest number of entries, above 0
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
