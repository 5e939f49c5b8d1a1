package org.shoreroad.edge.sync;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Incarnation;

/**
 * What the list told last of upstreams that were about to end or had ended, so that an older copy
 * of the store does not bring them back.
 *
 * <p>A store that comes back from a copy lists upstreams as they were seconds before. An upstream
 * that has announced its leaving does not return to service within one run, so its leaving stands
 * until its entry is written again. An entry that had been taken away may be of an upstream that
 * runs, since entries also lapse without its doing; it is held back for a time only. Used on the
 * event loop.
 */
final class EntryHistory {
  /**
   * An entry that had been taken away is held back this long after the copy listed it: operators
   * and upstreams write again within seconds what they wrote since, and the entry of a dead
   * upstream lapses after three heartbeats of 1.2 s.
   */
  static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final int MAX_KNOWN = 2_000;

  /** Upstreams that announced in an answer that they leave; their entries may be older. */
  private final Set<Incarnation> saidLeaving =
      Collections.newSetFromMap(new BoundedMap<>(MAX_KNOWN));

  private final Map<String, ListedEntry> leavings = new BoundedMap<>(MAX_KNOWN);
  private final Map<String, ListedEntry> removals = new BoundedMap<>(MAX_KNOWN);
  private final Map<String, Long> heldUntilNanos = new HashMap<>();

  /** Takes note of an entry that is in force. */
  void noteEntry(ListedEntry entry) {
    removals.remove(entry.box().id());
    if (entry.box().isLeaving()) {
      leavings.put(entry.box().id(), entry);
    } else {
      leavings.remove(entry.box().id());
    }
  }

  /** Takes note that an upstream has said in an answer that it is about to end. */
  void noteAnnouncedLeaving(Incarnation upstream) {
    saidLeaving.add(upstream);
  }

  /** Takes note that the entry of an upstream was taken away. */
  void noteRemoved(FleetBox box, StorePosition position) {
    removals.put(box.id(), new ListedEntry(box, position));
  }

  /**
   * Returns the entry as one of an upstream that is about to end, if that is known of the same run:
   * from an answer, or from an earlier entry where this one comes from a copy that may be older.
   */
  ListedEntry withKnownLeaving(ListedEntry entry) {
    return saidLeaving.contains(entry.box().incarnation())
            || mayPredate(entry, leavings.get(entry.box().id()))
        ? new ListedEntry(entry.box().withLeaving(), entry.position())
        : entry;
  }

  /**
   * Returns true if the entry is not to count for now: it was taken away, and comes back from a
   * copy that may be older.
   */
  boolean holdBackIfRemoved(ListedEntry entry, long nowNanos) {
    String id = entry.box().id();
    if (mayPredate(entry, removals.get(id))) {
      heldUntilNanos.putIfAbsent(id, nowNanos + HOLD_NANOS);
      return true;
    }
    heldUntilNanos.remove(id);
    return false;
  }

  /** Returns the upstreams whose entries have been held back long enough, each once. */
  List<String> takeReleased(long nowNanos) {
    List<String> taken = new ArrayList<>();
    heldUntilNanos.forEach(
        (id, untilNanos) -> {
          if (nowNanos - untilNanos >= 0) {
            taken.add(id);
          }
        });
    heldUntilNanos.keySet().removeAll(taken);
    removals.keySet().removeAll(taken);
    return taken;
  }

  /**
   * Takes note that all entries up to a position were read. An entry read after it was written
   * after all that is known of former eras.
   */
  void noteListed(StorePosition end) {
    leavings.replaceAll((id, known) -> rebased(known, end));
    removals.replaceAll((id, known) -> rebased(known, end));
  }

  private static ListedEntry rebased(ListedEntry known, StorePosition end) {
    return known.position().era() < end.era()
        ? new ListedEntry(known.box(), end.previous())
        : known;
  }

  /** Returns true if an entry of the same run may have been written before what is known. */
  private static boolean mayPredate(ListedEntry entry, @Nullable ListedEntry known) {
    return known != null
        && known.box().bornMs() == entry.box().bornMs()
        && !entry.position().isCertainlyAfter(known.position());
  }
}
