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
 * The last known entries of upstreams that were about to end or had ended, so that an older copy of
 * the store does not bring them back.
 *
 * <p>A store restored from a copy lists upstreams as they were seconds before. An upstream that has
 * announced that it leaves does not return to service in the same incarnation, so it stays leaving
 * until its entry is written again. A removed entry may belong to a running upstream, since entries
 * also lapse without an action of the upstream; it is held back for a limited time only. Not
 * thread-safe: used on the event loop.
 */
final class EntryHistory {
  /**
   * Time for which a removed entry is held back after the copy listed it. Operators and upstreams
   * repeat lost writes within seconds, and the entry of a dead upstream lapses after three
   * heartbeats of 1.2 s.
   */
  static final long HOLD_NANOS = TimeUnit.SECONDS.toNanos(5);

  private static final int MAX_UPSTREAMS = 2_000;

  /** Upstreams that announced in a response that they leave; their entries may be older. */
  private final Set<Incarnation> announcedLeaving =
      Collections.newSetFromMap(new BoundedMap<>(MAX_UPSTREAMS));

  private final Map<String, ListedEntry> leavingEntries = new BoundedMap<>(MAX_UPSTREAMS);
  private final Map<String, ListedEntry> removedEntries = new BoundedMap<>(MAX_UPSTREAMS);
  private final Map<String, Long> heldUntilNanos = new HashMap<>();

  /** Records an entry that has been applied. */
  void noteEntry(ListedEntry entry) {
    removedEntries.remove(entry.box().id());
    if (entry.box().isLeaving()) {
      leavingEntries.put(entry.box().id(), entry);
    } else {
      leavingEntries.remove(entry.box().id());
    }
  }

  /** Records that an upstream has announced in a response that it is about to end. */
  void noteAnnouncedLeaving(Incarnation upstream) {
    announcedLeaving.add(upstream);
  }

  /** Records that the entry of an upstream was removed. */
  void noteRemoved(FleetBox box, StorePosition position) {
    removedEntries.put(box.id(), new ListedEntry(box, position));
  }

  /**
   * Returns the entry marked as leaving if the same incarnation is known to leave: from a response,
   * or from an earlier entry if the given one comes from a copy that may be older.
   */
  ListedEntry withKnownLeaving(ListedEntry entry) {
    return announcedLeaving.contains(entry.box().incarnation())
            || mayPredate(entry, leavingEntries.get(entry.box().id()))
        ? new ListedEntry(entry.box().withLeaving(), entry.position())
        : entry;
  }

  /**
   * Holds an entry back if it was removed before and comes from a copy that may be older than the
   * removal; otherwise ends an earlier hold. Returns true if the entry is held back.
   */
  boolean holdBackIfRemoved(ListedEntry entry, long nowNanos) {
    String id = entry.box().id();
    if (mayPredate(entry, removedEntries.get(id))) {
      heldUntilNanos.putIfAbsent(id, nowNanos + HOLD_NANOS);
      return true;
    }
    heldUntilNanos.remove(id);
    return false;
  }

  /** Returns the upstreams whose entries have been held back long enough, each once. */
  List<String> takeReleased(long nowNanos) {
    List<String> released = new ArrayList<>();
    heldUntilNanos.forEach(
        (id, untilNanos) -> {
          if (nowNanos - untilNanos >= 0) {
            released.add(id);
          }
        });
    heldUntilNanos.keySet().removeAll(released);
    removedEntries.keySet().removeAll(released);
    return released;
  }

  /**
   * Records that all entries before a position were read. An entry from that position on was
   * written later than anything known from former eras.
   */
  void noteListed(StorePosition end) {
    leavingEntries.replaceAll((id, known) -> rebased(known, end));
    removedEntries.replaceAll((id, known) -> rebased(known, end));
  }

  private static ListedEntry rebased(ListedEntry known, StorePosition end) {
    return known.position().era() < end.era()
        ? new ListedEntry(known.box(), end.previous())
        : known;
  }

  /** Returns true if an entry may be older than the known one of the same incarnation. */
  private static boolean mayPredate(ListedEntry entry, @Nullable ListedEntry known) {
    return known != null
        && known.box().bornMs() == entry.box().bornMs()
        && !entry.position().isCertainlyAfter(known.position());
  }
}
