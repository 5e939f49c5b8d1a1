package org.shoreroad.edge;

import java.net.InetSocketAddress;
import org.shoreroad.edge.relay.RelayRules;

/**
 * The settings of one process.
 *
 * @param node the name of the process
 * @param zone its availability zone
 * @param callerListen where callers connect
 * @param readyListen where the balancer asks whether the process is ready
 * @param peerListen where the other processes connect
 * @param metricsListen where the metrics are read
 * @param revokeMs a key that was taken away must not be used longer than this, in milliseconds
 * @param isKeyProofRequired true if a known key may be used only while it is proved that no change
 *     of the configuration was missed; false if a process that has lost the store goes on with the
 *     keys that it knows
 * @param stallMs a head that lost a member counts as broken by its own engine after this time, in
 *     milliseconds
 * @param graceMs the time between the signal to stop and the end, in milliseconds
 * @param rules the bounds on repeats
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
    RelayRules rules) {}
