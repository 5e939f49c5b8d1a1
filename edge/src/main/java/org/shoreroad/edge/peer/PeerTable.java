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
 * The other processes: of each node the incarnation that announced itself last.
 *
 * <p>Where the store came back from an older copy, the order of two announcements of a node may be
 * unknown: the copy may hold an earlier one, or a later one at a lower offset. The known
 * incarnation then stays, and the other one takes its place when it sends a heartbeat. Used on the
 * event loop.
 */
final class PeerTable {
  /** Stands between the name of a node and the number of its incarnation. */
  private static final char INCARNATION_MARK = '~';

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final ProcessLocation self;
  private final PeerChannels channels;
  private final Map<String, Peer> peers = new HashMap<>();
  private final Map<String, Announced> rivals = new HashMap<>();

  /** An announcement whose order to that of the known incarnation is unknown. */
  private record Announced(ProcessLocation place, String address, StorePosition position) {}

  PeerTable(
      EventLoop loop, LongSupplier clockNanos, EventLog log, ProcessLocation self, PeerChannels channels) {
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

  /** Returns the names of all peers. */
  Set<String> names() {
    return Set.copyOf(peers.keySet());
  }

  /** Returns the peer of a name, or null if it is not known. */
  @Nullable Peer find(String name) {
    return peers.get(name);
  }

  /**
   * Adds a process, or takes note that it announced itself again. An earlier incarnation of its
   * node is over.
   */
  void add(ProcessLocation place, String address, StorePosition position) {
    if (nodeOf(place.name()).equals(nodeOf(self.name()))) {
      return;
    }
    Peer known = peers.get(place.name());
    if (known != null) {
      known.noteAnnounced(position);
      return;
    }
    Peer other = otherIncarnation(place.name());
    if (other != null && !position.isCertainlyAfter(other.position())) {
      if (!other.position().isCertainlyAfter(position)) {
        rivals.put(place.name(), new Announced(place, address, position));
      }
      return;
    }
    replace(other, place, address, position);
  }

  private void replace(@Nullable Peer other, ProcessLocation place, String address, StorePosition position) {
    if (other != null) {
      remove(other.name());
    }
    rivals.remove(place.name());
    PeerConnection link = new PeerConnection(loop, clockNanos, log, place.name(), address, channels);
    peers.put(place.name(), new Peer(place, position, link, log));
    log.write("peer_known", "peer", place.name(), "address", address);
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
   * Takes note that all announcements were read anew, so that those of one node may have an order
   * by now.
   */
  void noteListed() {
    List<Announced> waiting = List.copyOf(rivals.values());
    rivals.clear();
    waiting.forEach(rival -> add(rival.place(), rival.address(), rival.position()));
  }

  /**
   * Returns the peer that sent a heartbeat, or null if it is not known. An incarnation that sends
   * heartbeats runs, so it takes the place of one that was announced in unknown order.
   */
  @Nullable Peer findSender(String name) {
    Announced rival = rivals.get(name);
    if (rival != null) {
      replace(otherIncarnation(name), rival.place(), rival.address(), rival.position());
    }
    return peers.get(name);
  }

  /** Forgets a process. */
  void remove(String name) {
    rivals.remove(name);
    Peer peer = peers.remove(name);
    if (peer != null) {
      peer.close();
    }
  }

  private static String nodeOf(String incarnation) {
    int mark = incarnation.lastIndexOf(INCARNATION_MARK);
    return mark < 0 ? incarnation : incarnation.substring(0, mark);
  }
}
