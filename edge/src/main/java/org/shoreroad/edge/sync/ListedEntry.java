package org.shoreroad.edge.sync;

import org.shoreroad.fleet.FleetBox;

/**
 * An entry of the list of upstreams. Immutable and thread-safe.
 *
 * @param box the upstream as described by its entry, not null
 * @param position the position of the entry in the store, not null
 */
record ListedEntry(FleetBox box, StorePosition position) {}
