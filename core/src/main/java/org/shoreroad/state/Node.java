package org.shoreroad.state;

/**
 * A process of the system as the log knows it.
 *
 * <p>This class is immutable and thread-safe.
 *
 * @param id its id, new at each start
 * @param peerAddress where peers reach it, {@code host:port}
 * @param availabilityZone the availability zone it runs in
 * @since 0.1
 */
public record Node(String id, String peerAddress, String availabilityZone) {}
