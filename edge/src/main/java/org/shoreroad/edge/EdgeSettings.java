package org.shoreroad.edge;

import java.net.InetSocketAddress;
import org.shoreroad.edge.caller.HeldBytesRule;
import org.shoreroad.edge.relay.RelayRules;
import org.shoreroad.edge.room.RoomMode;

/**
 * Settings of one process.
 *
 * @param node the name of the process
 * @param zone its availability zone
 * @param callerListen the address for callers
 * @param readyListen the address for the readiness checks of the load balancer
 * @param peerListen the address for the other processes
 * @param metricsListen the address for scrapes of the metrics
 * @param revokeMs the longest time for which a revoked key may be used, in milliseconds
 * @param isKeyProofRequired true if a known key may be used only while it is proved that no change
 *     of the configuration was missed; false if a process without a connection to the store
 *     continues to accept the keys of its last configuration
 * @param stallMs the time after which the engine of a head that lost a member breaks the replica,
 *     in milliseconds
 * @param graceMs the time between the stop signal and the end of the process, in milliseconds
 * @param rules the limits on retries
 * @param roomMode when the owners of fabric domains grant the room at their heads, not null
 * @param heldBytes the bounds on what is held for callers that do not read
 * @since 0.2
 */
public record EdgeSettings(
    String node,
    String zone,
    InetSocketAddress callerListen,
    InetSocketAddress readyListen,
    InetSocketAddress peerListen,
    InetSocketAddress metricsListen,
    int revokeMs,
    boolean isKeyProofRequired,
    int stallMs,
    int graceMs,
    RelayRules rules,
    RoomMode roomMode,
    HeldBytesRule heldBytes) {}
