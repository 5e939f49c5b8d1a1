package org.shoreroad.edge.sync;

import java.util.Map;
import java.util.function.Consumer;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Incarnation;

/**
 * The incarnations of upstreams that are over because a later one runs under the same id.
 *
 * <p>Start times come from the upstreams' own clocks, which may be set back, so that they tell two
 * incarnations apart but not which one is later. The later one is that of the later entry, or the
 * one that answered for itself; from then on entries and reports of the other one are dropped. An
 * entry that was written after the one that ended its incarnation shows that the incarnation runs.
 * Used on the event loop.
 */
final class FormerIncarnations {
  /** A late report comes within seconds; so many restarts do not. */
  private static final int MAX_KNOWN = 2_000;

  private static final String ENTRY = "entry";
  private static final String REPORT = "report";

  private Consumer<String> listener = what -> {};

  /** The position of the entry that ended each, or nowhere if a report did. */
  private final Map<Incarnation, StorePosition> over = new BoundedMap<>(MAX_KNOWN);

  /** Sets what counts the entries and reports that are dropped, by which of both it is. */
  void setListener(Consumer<String> newListener) {
    listener = newListener;
  }

  /**
   * Takes note that an incarnation is over.
   *
   * @param endedBy the position of the later incarnation's entry, or {@link StorePosition#NONE}
   *     if it answered for itself
   */
  void add(FleetBox box, StorePosition endedBy) {
    over.put(box.incarnation(), endedBy);
  }

  /** Returns true if an incarnation is over. */
  boolean contains(FleetBox box) {
    return over.containsKey(box.incarnation());
  }

  /** Returns true, and counts it, if a report is of an incarnation that is over. */
  boolean dropsReport(FleetBox report) {
    return count(contains(report), REPORT);
  }

  /**
   * Returns true, and counts it, if a peer's report is of another incarnation than the known one.
   */
  boolean dropsPeersReport(FleetBox known, FleetBox report) {
    return count(report.isOtherIncarnationOf(known) || contains(report), REPORT);
  }

  /** Returns true, and counts it, if an entry is of an incarnation that is over. */
  boolean dropsEntry(ListedEntry entry) {
    return count(isOver(entry), ENTRY);
  }

  private boolean count(boolean isDropped, String what) {
    if (isDropped) {
      listener.accept(what);
    }
    return isDropped;
  }

  private boolean isOver(ListedEntry entry) {
    StorePosition endedBy = over.get(entry.box().incarnation());
    if (endedBy == null) {
      return false;
    }
    boolean runs =
        !endedBy.equals(StorePosition.NONE) && entry.position().isCertainlyAfter(endedBy);
    if (runs) {
      over.remove(entry.box().incarnation());
    }
    return !runs;
  }
}
