package org.shoreroad.edge.sync;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.FleetBox;

/**
 * The upstreams by the list of the store, and by newer words of their own.
 *
 * <p>An entry that is taken away may come back: while the store was out of reach entries lapse, and
 * they are back within two seconds of its return if the upstream lives. Used on the event loop.
 *
 * @since 0.2
 */
public final class Fleet implements TopicFollower.Listener {
  /** Entries that lapsed in an outage are back within about two seconds (users' letter 2). */
  private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_300);

  private final Decoder decoder;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final Map<String, FleetBox> boxes = new HashMap<>();
  private final Map<String, Long> removedAtNanos = new HashMap<>();
  private final List<Consumer<FleetBox>> removalListeners = new ArrayList<>();
  private long changes;

  /** Creates an empty fleet. */
  public Fleet(Decoder decoder, LongSupplier clockNanos, EventLog log) {
    this.decoder = decoder;
    this.clockNanos = clockNanos;
    this.log = log;
  }

  /** Adds a listener that hears of each upstream that is gone for good. */
  public void addRemovalListener(Consumer<FleetBox> listener) {
    removalListeners.add(listener);
  }

  @Override
  public void onRecord(StoreRecord record) {
    byte[] value = record.value();
    if (value == null) {
      if (boxes.containsKey(record.key())) {
        removedAtNanos.putIfAbsent(record.key(), clockNanos.getAsLong());
        changes++;
      }
      return;
    }
    try {
      put(decoder.decode(record.key(), value));
    } catch (RuntimeException e) {
      log.write("upstream_entry_unreadable", "upstream", record.key(), "why", e.getMessage());
    }
  }

  @Override
  public void onListed(Set<String> keys) {
    for (String id : new HashSet<>(boxes.keySet())) {
      if (!keys.contains(id)) {
        removedAtNanos.putIfAbsent(id, clockNanos.getAsLong());
        changes++;
      }
    }
  }

  private void put(FleetBox box) {
    FleetBox before = boxes.put(box.id(), box);
    boolean wasRemoved = removedAtNanos.remove(box.id()) != null;
    if (!box.equals(before) || wasRemoved) {
      changes++;
      if (before == null || before.isLeaving() != box.isLeaving()) {
        log.write(
            "upstream_listed",
            "upstream",
            box.id(),
            "address",
            box.address(),
            "domain",
            box.domain(),
            "leaving",
            box.isLeaving());
      }
    }
  }

  /** Takes over what an engine has just said itself. */
  public void update(FleetBox newer) {
    FleetBox before = boxes.get(newer.id());
    if (before != null && !before.equals(newer)) {
      boxes.put(newer.id(), newer);
      changes++;
    }
  }

  /**
   * Drops the upstreams whose entries have been away long enough.
   *
   * @param storeReachableNanos how long the store has answered without a fault
   */
  public void dropRemoved(long storeReachableNanos) {
    long nowNanos = clockNanos.getAsLong();
    if (storeReachableNanos < RETURN_NANOS) {
      return;
    }
    for (String id : new ArrayList<>(removedAtNanos.keySet())) {
      if (nowNanos - removedAtNanos.get(id) >= RETURN_NANOS) {
        removedAtNanos.remove(id);
        FleetBox gone = boxes.remove(id);
        changes++;
        if (gone != null) {
          log.write("upstream_gone", "upstream", id, "address", gone.address());
          removalListeners.forEach(listener -> listener.accept(gone));
        }
      }
    }
  }

  /** Returns a number that rises with each change. */
  public long changes() {
    return changes;
  }

  /** Returns all upstreams that are known. */
  public Collection<FleetBox> boxes() {
    return boxes.values();
  }

  /** Returns the upstream, or null if it is not known. */
  public @Nullable FleetBox find(String id) {
    return boxes.get(id);
  }

  /** Returns true if the list still holds the upstream. */
  public boolean isListed(String id) {
    return boxes.containsKey(id) && !removedAtNanos.containsKey(id);
  }

  /** Reads an entry of the list. */
  public interface Decoder {
    /**
     * Returns the upstream.
     *
     * @throws RuntimeException if the entry can't be read
     */
    FleetBox decode(String id, byte[] entry);
  }
}
