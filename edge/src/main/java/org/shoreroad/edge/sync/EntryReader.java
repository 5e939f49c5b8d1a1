package org.shoreroad.edge.sync;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.FleetBox;

/**
 * Reader of the entries of the list. It ignores unusable entries.
 *
 * <p>An unusable entry affects no other entry. In particular it takes no address: an entry of an
 * unknown service at the address of an upstream would otherwise end that upstream here. If it has
 * the id of an upstream, the last usable entry of that upstream stays in force: the upstream writes
 * the next one within a heartbeat, and its requests continue meanwhile. Not thread-safe: used on
 * the event loop.
 */
final class EntryReader {
  /** Maximum number of ids whose last fault is kept, to log it once and not at each heartbeat. */
  private static final int MAX_FAULTY = 1_000;

  private final EntryDecoder decoder;
  private final EventLog log;
  private final Map<String, String> faultsById = new BoundedMap<>(MAX_FAULTY);
  private Predicate<String> isDeclaredService = name -> true;
  private Consumer<EntryFault> faultListener = fault -> {};

  EntryReader(EntryDecoder decoder, EventLog log) {
    this.decoder = decoder;
    this.log = log;
  }

  /** Sets the check for declared services, true for all while no configuration is known. */
  void setServiceCheck(Predicate<String> check) {
    isDeclaredService = check;
  }

  /** Sets the listener that is called with the fault of each ignored entry. */
  void setFaultListener(Consumer<EntryFault> listener) {
    faultListener = listener;
  }

  /** Returns the upstream that an entry describes, or empty if the entry is unusable. */
  Optional<FleetBox> read(String id, byte[] value) {
    try {
      FleetBox entry = decoder.decode(id, value);
      if (!isDeclared(entry)) {
        throw new UnusableEntryException(EntryFault.UNKNOWN_SERVICE, entry.service());
      }
      faultsById.remove(id);
      return Optional.of(entry);
    } catch (UnusableEntryException e) {
      noteFault(id, e);
      return Optional.empty();
    }
  }

  /** Returns true unless the upstream's service is not declared. */
  boolean isDeclared(FleetBox box) {
    return isDeclaredService.test(box.service());
  }

  private void noteFault(String id, UnusableEntryException e) {
    faultListener.accept(e.fault());
    String message = String.valueOf(e.getMessage());
    if (!message.equals(faultsById.put(id, message))) {
      log.write("upstream_entry_unusable", "upstream", id, "why", message);
    }
  }
}
