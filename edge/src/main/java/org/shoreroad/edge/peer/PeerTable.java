package org.shoreroad.edge.peer;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.member.HubPlan.ProcessLocation;

/**
 * The other processes: for each node the incarnation that was announced last.
 *
 * <p>After the store was restored from an older copy, the order of two announcements of a node may
 * be unknown: the copy may contain an earlier one, or a later one at a lower offset. The known
 * incarnation then stays until the other one sends a heartbeat and replaces it. Not thread-safe:
 * for use on the event loop.
 */
final class PeerTable {
  /** Separator between the name of a node and the number of its incarnation. */
  private static final char INCARNATION_SEPARATOR = '~';

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final ProcessLocation self;
  private final PeerChannels channels;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<String, UnorderedAnnouncement> unordered = new HashMap<>();

  /** An announcement whose order relative to that of the known incarnation is unknown. */
  private record UnorderedAnnouncement(
      ProcessLocation location, String address, StorePosition position) {}

  PeerTable(
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      ProcessLocation self,
      PeerChannels channels) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.self = self;
    this.channels = channels;
  }

  /** Returns all peers. */
  Collection<Peer> all() {
    return peers.values();
  }

  /** Returns the peers whose latest heartbeat has the scope and arrived within the window. */
  List<Peer> inScope(Heartbeat.Scope scope, long windowNanos) {
    long nowNanos = clockNanos.getAsLong();
    return peers.values().stream()
        .filter(
            peer ->
                peer.hasHeartbeatWithin(windowNanos, nowNanos)
                    && peer.lastHeartbeat().scope() == scope)
        .toList();
  }

  /**
   * Returns the addresses by name of the peers that seem alive.
   *
   * @param isFullMesh true if all peers send heartbeats to this process; otherwise those count too
   *     that send none and have not failed to answer
   */
  Map<String, String> reachableAddresses(boolean isFullMesh) {
    long nowNanos = clockNanos.getAsLong();
    Map<String, String> addresses = new HashMap<>();
    for (Peer peer : peers.values()) {
      boolean isAlive =
          isFullMesh
              ? peer.hasHeartbeatWithin(Peer.ALIVE_NANOS, nowNanos)
              : !peer.isUnresponsive(nowNanos);
      if (isAlive) {
        addresses.put(peer.name(), peer.address());
      }
    }
    return addresses;
  }

  /** Returns the names of all peers. */
  Set<String> names() {
    return Set.copyOf(peers.keySet());
  }

  /** Returns the peer with the name, or null if it is unknown. */
  @Nullable Peer find(String name) {
    return peers.get(name);
  }

  /**
   * Adds a process, or records that it has announced itself again. Replaces an earlier incarnation
   * of its node.
   */
  void add(ProcessLocation location, String address, StorePosition position) {
    if (nodeOf(location.name()).equals(nodeOf(self.name()))) {
      return;
    }
    Peer known = peers.get(location.name());
    if (known != null) {
      known.noteAnnounced(position);
      return;
    }
    Peer other = otherIncarnation(location.name());
    if (other != null && !position.isCertainlyAfter(other.position())) {
      if (!other.position().isCertainlyAfter(position)) {
        unordered.put(location.name(), new UnorderedAnnouncement(location, address, position));
      }
      return;
    }
    replace(other, location, address, position);
  }

  private void replace(
      @Nullable Peer other, ProcessLocation location, String address, StorePosition position) {
    if (other != null) {
      remove(other.name());
    }
    unordered.remove(location.name());
    PeerConnection connection =
        new PeerConnection(loop, clockNanos, log, location.name(), address, channels);
    peers.put(location.name(), new Peer(location, position, connection, log));
    log.write("peer_known", "peer", location.name(), "address", address);
  }

  private @Nullable Peer otherIncarnation(String name) {
    String node = nodeOf(name);
    for (Peer peer : peers.values()) {
      if (nodeOf(peer.name()).equals(node)) {
        return peer;
      }
    }
    return null;
  }

  /**
   * Processes the announcements of unknown order again after all announcements have been read
   * again, since the order may be known by now.
   */
  void noteListed() {
    List<UnorderedAnnouncement> retried = List.copyOf(unordered.values());
    unordered.clear();
    retried.forEach(pending -> add(pending.location(), pending.address(), pending.position()));
  }

  /**
   * Returns the peer that sent a heartbeat, or null if it is unknown. An incarnation that sends
   * heartbeats is running, so it replaces one whose announcement has an unknown order to its own.
   */
  @Nullable Peer findSender(String name) {
    UnorderedAnnouncement pending = unordered.get(name);
    if (pending != null) {
      replace(otherIncarnation(name), pending.location(), pending.address(), pending.position());
    }
    return peers.get(name);
  }

  /** Removes a process. */
  void remove(String name) {
    unordered.remove(name);
    Peer peer = peers.remove(name);
    if (peer != null) {
      peer.close();
    }
  }

  private static String nodeOf(String incarnation) {
    int index = incarnation.lastIndexOf(INCARNATION_SEPARATOR);
    return index < 0 ? incarnation : incarnation.substring(0, index);
  }
}
