package org.shoreroad.edge.sync;

import org.shoreroad.fleet.FleetBox;

/**
 * An entry of the list of upstreams. Immutable and thread-safe.
 *
 * @param box the upstream as its entry shows it, not null
 * @param position the place of the entry in the store, not null
 */
record ListedEntry(FleetBox box, StorePosition position) {}
