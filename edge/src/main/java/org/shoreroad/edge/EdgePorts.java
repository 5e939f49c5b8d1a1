package org.shoreroad.edge;

import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.edge.replica.Engines;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.LeaseStore;
import org.shoreroad.edge.sync.Store;
import org.shoreroad.edge.sync.StoreEra;

/**
 * What the adapter of a platform gives to the process.
 *
 * @param headers the names of the headers
 * @param store the topics of the platform's store
 * @param leaseStore the groups of that store
 * @param storeEra the era of that store, observed in its answers
 * @param engines the engines of the boxes
 * @param configDecoder reads the configuration
 * @param upstreamDecoder reads entries of the list of upstreams
 * @since 0.2
 */
public record EdgePorts(
    HeaderNames headers,
    Store store,
    LeaseStore leaseStore,
    StoreEra storeEra,
    Engines engines,
    ConfigurationView.Decoder configDecoder,
    Fleet.Decoder upstreamDecoder) {}
