package org.shoreroad.edge.sync;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * The known upstreams without an entry in the list, with the time of the removal and whether it is
 * final. Not thread-safe: used on the event loop.
 */
final class UnlistedUpstreams {
  /** Time after which a box off the list is removed even if its end could not be confirmed. */
  private static final long MAX_ABSENCE_NANOS = TimeUnit.MINUTES.toNanos(2);

  private final Map<String, Absence> absences = new HashMap<>();

  /**
   * The absence of an upstream from the list.
   *
   * @param sinceNanos the time when its entry was removed
   * @param isFinal true once the entry has not come back within the expected time
   */
  record Absence(long sinceNanos, boolean isFinal) {}

  /** Records that the entry of an upstream was removed; keeps the time of an earlier call. */
  void add(String id, long nowNanos) {
    absences.putIfAbsent(id, new Absence(nowNanos, false));
  }

  /** Adds an upstream that was never on the list; its absence is final. */
  void addFinal(String id, long nowNanos) {
    absences.put(id, new Absence(nowNanos, true));
  }

  /** Sets the absence of an upstream; does nothing if the absence is null. */
  void put(String id, @Nullable Absence absence) {
    if (absence != null) {
      absences.put(id, absence);
    }
  }

  /** Returns the absence of the upstream, or null if it is on the list. */
  @Nullable Absence find(String id) {
    return absences.get(id);
  }

  /** Removes an upstream that is listed again or has ended; returns true if it was missing. */
  boolean remove(String id) {
    return absences.remove(id) != null;
  }

  /** Marks a missing upstream as off the list for good; returns true if it was not so before. */
  boolean makeFinal(String id) {
    Absence absence = absences.get(id);
    if (absence == null || absence.isFinal()) {
      return false;
    }
    absences.put(id, new Absence(absence.sinceNanos(), true));
    return true;
  }

  /** Returns true if the upstream has no entry in the list. */
  boolean contains(String id) {
    return absences.containsKey(id);
  }

  /** Returns true if the upstream is off the list for good. */
  boolean isFinal(String id) {
    Absence absence = absences.get(id);
    return absence != null && absence.isFinal();
  }

  /** Returns true if the upstream has been missing for so long that it can be removed. */
  boolean isOutdated(String id, long nowNanos) {
    Absence absence = absences.get(id);
    return absence != null && nowNanos - absence.sinceNanos() > MAX_ABSENCE_NANOS;
  }

  /** Returns a copy of the ids of all missing upstreams. */
  List<String> ids() {
    return List.copyOf(absences.keySet());
  }
}
