package org.shoreroad.state;

/**
 * A process that has joined the system through the log.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param id the id, new at each start
 * @param peerAddress the address for connections from peers, {@code host:port}
 * @param availabilityZone the availability zone it runs in
 * @since 0.1
 */
public record Node(String id, String peerAddress, String availabilityZone) {}
