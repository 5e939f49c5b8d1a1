package org.shoreroad.edge.sync;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.FleetBox;

/**
 * Index of the boxes by fabric domain. Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class DomainIndex {
  private final Map<String, Map<String, FleetBox>> boxesByDomain = new HashMap<>();

  /** Returns the key of a fabric domain of a service. */
  public static String keyOf(String service, String domain) {
    return service + "/" + domain;
  }

  /** Returns the service in the key of a domain. */
  public static String serviceOf(String key) {
    return key.substring(0, key.indexOf('/'));
  }

  /** Returns the keys of all domains that have boxes, an unmodifiable view. */
  Set<String> keys() {
    return Collections.unmodifiableSet(boxesByDomain.keySet());
  }

  /** Returns the boxes of a domain, in no order; empty if none is known. */
  List<FleetBox> boxesOf(String key) {
    return List.copyOf(boxesByDomain.getOrDefault(key, Map.of()).values());
  }

  /** Replaces the state of a box; the previous state is null for a new box. */
  void replace(@Nullable FleetBox before, FleetBox box) {
    if (before != null && !Objects.equals(before.domain(), box.domain())) {
      remove(before);
    }
    if (box.domain() != null) {
      String key = keyOf(box.service(), box.domain());
      boxesByDomain.computeIfAbsent(key, name -> new HashMap<>()).put(box.id(), box);
    }
  }

  /** Removes a box. */
  void remove(FleetBox box) {
    if (box.domain() != null) {
      boxesByDomain.computeIfPresent(
          keyOf(box.service(), box.domain()),
          (key, boxes) -> {
            boxes.remove(box.id());
            return boxes.isEmpty() ? null : boxes;
          });
    }
  }
}
