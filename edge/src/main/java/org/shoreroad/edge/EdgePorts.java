package org.shoreroad.edge;

import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.edge.replica.Engines;
import org.shoreroad.edge.sync.EntryDecoder;
import org.shoreroad.edge.sync.LeaseStore;
import org.shoreroad.edge.sync.Store;
import org.shoreroad.edge.sync.StoreEra;

/**
 * Interfaces that a platform adapter implements for the process.
 *
 * @param headers the names of the headers
 * @param store the topics of the platform's store
 * @param leaseStore the lease groups of that store
 * @param storeEra the era of that store, observed in its answers
 * @param engines the client of the boxes' engines
 * @param configDecoder the decoder of the configuration
 * @param upstreamDecoder the decoder of entries of the list of upstreams
 * @since 0.2
 */
public record EdgePorts(
    HeaderNames headers,
    Store store,
    LeaseStore leaseStore,
    StoreEra storeEra,
    Engines engines,
    ConfigurationView.Decoder configDecoder,
    EntryDecoder upstreamDecoder) {}
