package org.shoreroad.edge.sync;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Incarnation;

/**
 * The incarnations of upstreams that are over because a later one runs under the same id.
 *
 * <p>Start times come from the upstreams' own clocks, which may be set back, so that they tell two
 * incarnations apart but not which one is later. The later one is that of the later entry, or the
 * one that answered for itself; from then on entries and reports of the other one are dropped. Used
 * on the event loop.
 */
final class FormerIncarnations {
  /** A late report comes within seconds; so many restarts do not. */
  private static final int MAX_KNOWN = 2_000;

  private final Map<Incarnation, Boolean> over =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Incarnation, Boolean> eldest) {
          return size() > MAX_KNOWN;
        }
      };

  /** Takes note that an incarnation is over. */
  void add(FleetBox box) {
    over.put(box.incarnation(), true);
  }

  /** Returns true if an entry or a report is of an incarnation that is over. */
  boolean contains(FleetBox box) {
    return over.containsKey(box.incarnation());
  }
}
