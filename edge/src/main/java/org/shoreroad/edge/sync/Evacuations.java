package org.shoreroad.edge.sync;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.shoreroad.edge.EventLog;

/**
 * Availability zones that operators evacuate: nothing is sent to the upstreams of such a zone.
 *
 * <p>Learned from the records of the store and from the heartbeats of other processes, so that a
 * process whose reads of the store fail learns them too. The newest record of each zone counts. If
 * the store was restored from an older copy, the order of two records may be unknown: a record that
 * is read after the listing of the copy is newer than all before; otherwise the known state stays.
 * Not thread-safe: used on the event loop.
 *
 * @since 0.2
 */
public final class Evacuations {
  /** Maximum number of zones, far above the zones of a region; further ones are ignored. */
  private static final int MAX_ZONES = 256;

  private final EventLog log;
  private final Map<String, State> states = new HashMap<>();
  private final Set<String> evacuated = new HashSet<>();
  private final List<Consumer<String>> returnListeners = new ArrayList<>();
  private Predicate<String> isKnownZone = zone -> true;
  private Runnable changeListener = () -> {};
  private StorePosition listedEnd = StorePosition.NONE;
  private long changes;

  /**
   * The newest record of a zone.
   *
   * @param zone the availability zone, not null
   * @param isRequested true if it requests the evacuation, false if it withdraws the request
   * @param position the position of the record in the store, not null
   */
  public record State(String zone, boolean isRequested, StorePosition position) {}

  /** Creates a table without evacuated zones. */
  public Evacuations(EventLog log) {
    this.log = log;
  }

  /** Sets the check for zones that have upstreams; another zone is logged as unknown. */
  public void setZoneCheck(Predicate<String> check) {
    isKnownZone = check;
  }

  /** Adds a listener that is called with each zone whose evacuation was withdrawn. */
  public void addReturnListener(Consumer<String> listener) {
    returnListeners.add(listener);
  }

  /** Sets the callback for a change read from the store, which the other processes need soon. */
  public void setChangeListener(Runnable listener) {
    changeListener = listener;
  }

  /** Applies a record of the store. */
  public void applyRecord(String zone, boolean isRequested, StorePosition position) {
    State next = new State(zone, isRequested, position);
    // The state may be of a former era, in which its offset was higher.
    boolean isAfterListing = position.hasReached(listedEnd);
    if ((isAfterListing && isUnread(next)) || isNewer(next)) {
      apply(next, "store");
      changeListener.run();
    }
  }

  private boolean isUnread(State next) {
    State known = states.get(next.zone());
    if (known == null) {
      return states.size() < MAX_ZONES;
    }
    return next.position().era() > known.position().era() || isNewer(next);
  }

  /** Applies the state that another process reports. */
  public void applyReport(State reported) {
    if (isNewer(reported)) {
      apply(reported, "peer");
    }
  }

  /**
   * Withdraws the evacuations whose records a full listing lacks.
   *
   * @param listedZones the zones whose records were listed, not null
   * @param end the position from which on every record follows
   */
  public void applyListing(Set<String> listedZones, StorePosition end) {
    listedEnd = end;
    for (State known : List.copyOf(states.values())) {
      State withdrawn = new State(known.zone(), false, end.previous());
      if (known.isRequested() && !listedZones.contains(known.zone()) && isNewer(withdrawn)) {
        apply(withdrawn, "store");
        changeListener.run();
      }
    }
  }

  private boolean isNewer(State next) {
    State known = states.get(next.zone());
    return known == null
        ? states.size() < MAX_ZONES
        : next.position().isCertainlyAfter(known.position());
  }

  private void apply(State next, String source) {
    states.put(next.zone(), next);
    boolean isChange =
        next.isRequested() ? evacuated.add(next.zone()) : evacuated.remove(next.zone());
    if (!isChange) {
      return;
    }
    changes++;
    log.write(
        next.isRequested() ? "zone_evacuated" : "zone_returned",
        "zone",
        next.zone(),
        "isKnown",
        isKnownZone.test(next.zone()),
        "era",
        next.position().era(),
        "offset",
        next.position().offset(),
        "by",
        source);
    if (!next.isRequested()) {
      returnListeners.forEach(listener -> listener.accept(next.zone()));
    }
  }

  /** Returns true if the zone is evacuated. */
  public boolean isEvacuated(String zone) {
    return !evacuated.isEmpty() && evacuated.contains(zone);
  }

  /** Returns true if no zone is evacuated, the usual case, in which callers skip look-ups. */
  public boolean isEmpty() {
    return evacuated.isEmpty();
  }

  /** Returns the number of evacuated zones. */
  public int count() {
    return evacuated.size();
  }

  /** Returns the number of times a zone was evacuated or returned. */
  public long changes() {
    return changes;
  }

  /** Returns the newest record of each zone, for the other processes. */
  public List<State> states() {
    return List.copyOf(states.values());
  }
}
