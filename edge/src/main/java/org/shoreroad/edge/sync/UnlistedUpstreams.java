package org.shoreroad.edge.sync;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Known upstreams without an entry in the list: since when, and which of them are off the list for
 * good. Used on the event loop.
 */
final class UnlistedUpstreams {
  /** A box off the list that nobody could make sure of is forgotten after this time. */
  private static final long FORGET_NANOS = TimeUnit.MINUTES.toNanos(2);

  private final Map<String, Absence> absences = new HashMap<>();

  /**
   * How an upstream is missing from the list.
   *
   * @param sinceNanos when its entry was taken away
   * @param isFinal true once the entry has not come back in the time in which it would have
   */
  record Absence(long sinceNanos, boolean isFinal) {}

  /** Takes note that the entry of an upstream was taken away; the first time counts. */
  void add(String id, long nowNanos) {
    absences.putIfAbsent(id, new Absence(nowNanos, false));
  }

  /** Adds an upstream that never was on the list. */
  void addFinal(String id, long nowNanos) {
    absences.put(id, new Absence(nowNanos, true));
  }

  /** Takes an absence over for an upstream, or nothing if there is none. */
  void put(String id, @Nullable Absence absence) {
    if (absence != null) {
      absences.put(id, absence);
    }
  }

  /** Returns how the upstream is missing, or null if it is on the list. */
  @Nullable Absence find(String id) {
    return absences.get(id);
  }

  /** Takes note that an upstream is on the list again, or over; returns true if it was missing. */
  boolean remove(String id) {
    return absences.remove(id) != null;
  }

  /** Counts a missing upstream as off the list for good; returns true if it did not before. */
  boolean makeFinal(String id) {
    Absence absence = absences.get(id);
    if (absence == null || absence.isFinal()) {
      return false;
    }
    absences.put(id, new Absence(absence.sinceNanos(), true));
    return true;
  }

  /** Returns true if the list does not hold the upstream. */
  boolean contains(String id) {
    return absences.containsKey(id);
  }

  /** Returns true if the upstream is off the list for good. */
  boolean isFinal(String id) {
    Absence absence = absences.get(id);
    return absence != null && absence.isFinal();
  }

  /** Returns true if the upstream has been missing for so long that it can be forgotten. */
  boolean isOutdated(String id, long nowNanos) {
    Absence absence = absences.get(id);
    return absence != null && nowNanos - absence.sinceNanos() > FORGET_NANOS;
  }

  /** Returns the ids of all that are missing, a copy. */
  List<String> ids() {
    return List.copyOf(absences.keySet());
  }
}
