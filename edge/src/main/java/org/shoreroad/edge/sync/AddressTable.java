package org.shoreroad.edge.sync;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.FleetBox;

/**
 * The upstream at each address: the one whose entry was written last.
 *
 * <p>A store restored from an older copy may list an upstream whose address has since passed to
 * another one, or a later upstream at a lower offset. These two cases can't be distinguished. So
 * the known upstream keeps the address, and the other entry waits until the known one is off the
 * list. This delays a later upstream by 2.3 s; the other choice would end a running one. Not
 * thread-safe: used on the event loop.
 */
final class AddressTable {
  private final Map<String, String> idsByAddress = new HashMap<>();
  private final Map<String, StorePosition> positions = new HashMap<>();
  private final Map<String, ListedEntry> waiting = new HashMap<>();

  /** Returns the id of the upstream at an address, or null if none is known. */
  @Nullable String find(String address) {
    return idsByAddress.get(address);
  }

  /** Returns the other upstream at the address of an entry, or null if there is none. */
  @Nullable String otherAt(FleetBox entry) {
    String id = idsByAddress.get(entry.address());
    return entry.id().equals(id) ? null : id;
  }

  /**
   * Returns true if an entry may take its address: no other upstream holds it, or the other one's
   * entry is earlier. If the order of the two entries is unknown, this one is kept waiting.
   */
  boolean mayTake(ListedEntry entry) {
    String other = otherAt(entry.box());
    if (other == null || isAfter(entry, other)) {
      return true;
    }
    if (!isBefore(entry, other)) {
      addWaiting(entry);
    }
    return false;
  }

  /** Returns true if the entry was certainly written after that of an upstream. */
  boolean isAfter(ListedEntry entry, String id) {
    return entry.position().isCertainlyAfter(positions.getOrDefault(id, StorePosition.NONE));
  }

  /** Returns true if the entry was certainly written before that of an upstream. */
  boolean isBefore(ListedEntry entry, String id) {
    return positions.getOrDefault(id, StorePosition.NONE).isCertainlyAfter(entry.position());
  }

  /** Assigns the address to an upstream that is not on the list. */
  void assign(FleetBox box) {
    idsByAddress.put(box.address(), box.id());
  }

  /** Assigns the address to the upstream of an entry. */
  void assign(ListedEntry entry) {
    assign(entry.box());
    positions.put(entry.box().id(), entry.position());
    waiting.computeIfPresent(
        entry.box().address(),
        (address, other) -> other.box().id().equals(entry.box().id()) ? null : other);
  }

  /** Keeps an entry until the address is released. */
  void addWaiting(ListedEntry entry) {
    waiting.put(entry.box().address(), entry);
  }

  /** Returns true if an entry waits for the address. */
  boolean hasWaiting(String address) {
    return waiting.containsKey(address);
  }

  /** Removes and returns all waiting entries. */
  List<ListedEntry> takeWaiting() {
    List<ListedEntry> entries = List.copyOf(waiting.values());
    waiting.clear();
    return entries;
  }

  /** Records that a listing lacked an upstream: entries from its end on were written later. */
  void noteUnlisted(String id, StorePosition end) {
    positions.put(id, end.previous());
  }

  /** Releases the address of a removed upstream; returns the entry that waited for it. */
  Optional<ListedEntry> release(FleetBox removed) {
    positions.remove(removed.id());
    if (!idsByAddress.remove(removed.address(), removed.id())) {
      return Optional.empty();
    }
    return Optional.ofNullable(waiting.remove(removed.address()));
  }
}
