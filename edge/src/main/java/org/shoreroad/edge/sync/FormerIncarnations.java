package org.shoreroad.edge.sync;

import java.util.Map;
import java.util.function.Consumer;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Incarnation;

/**
 * The incarnations of upstreams that have ended because a later one runs under the same id.
 *
 * <p>Start times come from the upstreams' own clocks, which may be set back. They distinguish two
 * incarnations but don't show which one is later. The later one is that of the later entry, or the
 * one that answered this process directly; from then on entries and reports of the other one are
 * dropped. An entry that was written after the one that ended its incarnation shows that the
 * incarnation is running. Not thread-safe: used on the event loop.
 */
final class FormerIncarnations {
  /** Late reports arrive within seconds, in which there are fewer restarts than this. */
  private static final int MAX_INCARNATIONS = 2_000;

  private static final String ENTRY = "entry";
  private static final String REPORT = "report";

  private Consumer<String> listener = kind -> {};

  /** The position of the entry that ended each, or {@link StorePosition#NONE} if a report did. */
  private final Map<Incarnation, StorePosition> ended = new BoundedMap<>(MAX_INCARNATIONS);

  /** Sets the listener that is called for each drop, with {@code "entry"} or {@code "report"}. */
  void setListener(Consumer<String> newListener) {
    listener = newListener;
  }

  /**
   * Records that an incarnation has ended.
   *
   * @param endedBy the position of the later incarnation's entry, or {@link StorePosition#NONE} if
   *     the later incarnation answered this process directly
   */
  void add(FleetBox box, StorePosition endedBy) {
    ended.put(box.incarnation(), endedBy);
  }

  /** Returns true if an incarnation has ended. */
  boolean contains(FleetBox box) {
    return ended.containsKey(box.incarnation());
  }

  /** Returns true, and calls the listener, if a report is of an ended incarnation. */
  boolean dropsReport(FleetBox report) {
    return count(contains(report), REPORT);
  }

  /**
   * Returns true, and calls the listener, if a peer's report is of an ended incarnation or of
   * another one than the known one.
   */
  boolean dropsPeersReport(FleetBox known, FleetBox report) {
    return count(report.isOtherIncarnationOf(known) || contains(report), REPORT);
  }

  /** Returns true, and calls the listener, if an entry is of an ended incarnation. */
  boolean dropsEntry(ListedEntry entry) {
    return count(hasEnded(entry), ENTRY);
  }

  private boolean count(boolean isDropped, String kind) {
    if (isDropped) {
      listener.accept(kind);
    }
    return isDropped;
  }

  private boolean hasEnded(ListedEntry entry) {
    StorePosition endedBy = ended.get(entry.box().incarnation());
    if (endedBy == null) {
      return false;
    }
    boolean isRunning =
        !endedBy.equals(StorePosition.NONE) && entry.position().isCertainlyAfter(endedBy);
    if (isRunning) {
      ended.remove(entry.box().incarnation());
    }
    return !isRunning;
  }
}
