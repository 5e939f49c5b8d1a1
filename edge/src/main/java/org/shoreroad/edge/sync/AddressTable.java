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
 * <p>Where the store came back from an older copy it may list an upstream whose address has gone to
 * another one since, or a later one at a lower offset. Nothing tells these two apart. The known
 * upstream then keeps the address and the other entry waits until the known one is off the list: a
 * later upstream waits 2.3 s, where the other choice would end one that runs. Used on the event
 * loop.
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
   * Returns true if an entry may take its address: no other upstream holds it, or by an earlier
   * entry. Where the order of the two entries is unknown, this one waits.
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

  /** Returns true if the entry was written after that of an upstream, for certain. */
  boolean isAfter(ListedEntry entry, String id) {
    return entry.position().isCertainlyAfter(positions.getOrDefault(id, StorePosition.NONE));
  }

  /** Returns true if the entry was written before that of an upstream, for certain. */
  boolean isBefore(ListedEntry entry, String id) {
    return positions.getOrDefault(id, StorePosition.NONE).isCertainlyAfter(entry.position());
  }

  /** Gives the address to an upstream that the list does not hold. */
  void assign(FleetBox box) {
    idsByAddress.put(box.address(), box.id());
  }

  /** Gives the address to the upstream of an entry. */
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

  /** Returns all entries that wait, and keeps none. */
  List<ListedEntry> takeWaiting() {
    List<ListedEntry> taken = List.copyOf(waiting.values());
    waiting.clear();
    return taken;
  }

  /** Records that a full listing lacked an upstream: entries from its end on were written later. */
  void noteUnlisted(String id, StorePosition end) {
    positions.put(id, end.previous());
  }

  /** Releases the address of an upstream that is gone; returns the entry that waited for it. */
  Optional<ListedEntry> release(FleetBox gone) {
    positions.remove(gone.id());
    if (!idsByAddress.remove(gone.address(), gone.id())) {
      return Optional.empty();
    }
    return Optional.ofNullable(waiting.remove(gone.address()));
  }
}
