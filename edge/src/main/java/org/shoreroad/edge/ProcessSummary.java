package org.shoreroad.edge;

import org.shoreroad.edge.relay.FleetSummary;
import org.shoreroad.edge.sync.CountedStore;

/**
 * Logs the state of the fleet and the calls to the store, so that a lack of replicas can be
 * analyzed later. Not thread-safe: used on the event loop.
 */
final class ProcessSummary {
  private final ConfigurationView configuration;
  private final FleetSummary fleet;
  private final CountedStore store;
  private final EventLog log;

  ProcessSummary(
      ConfigurationView configuration, FleetSummary fleet, CountedStore store, EventLog log) {
    this.configuration = configuration;
    this.fleet = fleet;
    this.store = store;
    this.log = log;
  }

  /** Logs the summary; does nothing without a configuration. */
  void run() {
    if (configuration.config() != null) {
      configuration.services().forEach(fleet::summarize);
      fleet.summarizeBoxes();
      log.write("store_calls", "counts", store.takeCounts());
    }
  }
}
