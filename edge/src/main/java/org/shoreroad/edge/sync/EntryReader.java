package org.shoreroad.edge.sync;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.shoreroad.edge.EventLog;
import org.shoreroad.fleet.FleetBox;

/**
 * Reads the entries of the list, and passes over those that name no upstream to use.
 *
 * <p>Such an entry costs nothing but itself. In particular it takes no address: an entry of an
 * unknown service at the address of an upstream would otherwise end that upstream here. Where it
 * stands under the id of an upstream, the upstream's last own entry goes on to count: the upstream
 * writes the next one within a heartbeat, and its requests run on meanwhile. Used on the event
 * loop.
 */
final class EntryReader {
  /** Ids whose last fault is remembered, so that each is logged once and not at each heartbeat. */
  private static final int MAX_FAULTY = 1_000;

  private final Fleet.Decoder decoder;
  private final EventLog log;
  private final Map<String, String> faultsById = new BoundedMap<>(MAX_FAULTY);
  private Predicate<String> isKnownService = name -> true;
  private Consumer<EntryFault> faultListener = fault -> {};

  EntryReader(Fleet.Decoder decoder, EventLog log) {
    this.decoder = decoder;
    this.log = log;
  }

  /** Sets which services are declared; true for all while no configuration is known. */
  void setServiceCheck(Predicate<String> check) {
    isKnownService = check;
  }

  /** Sets what counts the entries that are passed over. */
  void setFaultListener(Consumer<EntryFault> listener) {
    faultListener = listener;
  }

  /** Returns the upstream that an entry names, or empty if it names none to use. */
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
    return isKnownService.test(box.service());
  }

  private void noteFault(String id, UnusableEntryException e) {
    faultListener.accept(e.fault());
    String what = String.valueOf(e.getMessage());
    if (!what.equals(faultsById.put(id, what))) {
      log.write("upstream_entry_unusable", "upstream", id, "why", what);
    }
  }
}
