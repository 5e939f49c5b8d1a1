package org.shoreroad.edge.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.peer.Digest.ReceivedHeartbeat;
import org.shoreroad.edge.peer.Heartbeat.Scope;
import org.shoreroad.edge.sync.DomainLeases;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.member.HubPlan;
import org.shoreroad.member.HubPlan.ProcessLocation;
import org.shoreroad.routing.Rendezvous;

/**
 * Exchanges heartbeats with the other processes: liveness, load, configuration version, reports.
 *
 * <p>Each process opens a connection to each receiver of its heartbeats and only sends on it.
 * {@link HubPlan} determines the receivers: all other processes in a small system, the hub or the
 * members in a large one. Not thread-safe: for use on the event loop.
 *
 * @since 0.2
 */
public final class PeerMesh implements DomainLeases.Peers {
  /** Interval of the heartbeats to a peer. */
  static final int INTERVAL_MS = 200;

  /** Minimum time from the previous heartbeats to urgent ones, which are sent ahead of time. */
  private static final long URGENT_INTERVAL_MS = 50;

  /** The same time with hubs, where each urgent heartbeat reaches all processes. */
  private static final long HUB_URGENT_INTERVAL_MS = 100;

  /** Time for which a peer counts in shares of common budgets after its last heartbeat. */
  private static final long SHARE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /**
   * Time for which the process list counts as incomplete after a heartbeat of an unknown process:
   * the longest interval between two reads of the list, 4 s, and the duration of a read.
   */
  private static final long UNKNOWN_SENDER_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Interval between two computations of the hub plan. */
  private static final long PLAN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /**
   * Number of processes that read the upstream list for all others. With three, the list stays
   * current while the store rejects two of them.
   */
  private static final int READERS = 3;

  private static final String READER_KEY = "reader";

  private final EventLoop loop;
  private final LongSupplier clockNanos;
  private final EventLog log;
  private final RepeatingTimer timer;
  private final ProcessLocation self;
  private final HeartbeatSource source;
  private final Consumer<Heartbeat> listener;
  private final PeerChannels channels;
  private final PeerTable peers;
  private final List<FleetBox> reportsOfMembers = new ArrayList<>();
  private final List<FleetBox> reportsOfHubs = new ArrayList<>();
  private HubPlan plan;
  private Set<ProcessLocation> plannedLocations = Set.of();
  private boolean isReader = true;
  private long plannedNanos;
  private long unknownSenderNanos = Long.MIN_VALUE / 2;
  private long sentNanos;
  private boolean isUrgent;
  private Predicate<Set<String>> suspicionListener = heads -> false;

  /** Creates a mesh without peers. */
  public PeerMesh(
      EventLoop loop,
      LongSupplier clockNanos,
      EventLog log,
      ProcessLocation self,
      HeartbeatSource source,
      Consumer<Heartbeat> listener) {
    this.loop = loop;
    this.clockNanos = clockNanos;
    this.log = log;
    this.timer = new RepeatingTimer(loop, log);
    this.self = self;
    this.source = source;
    this.listener = listener;
    PeerChannels opened = new PeerChannels(log, this::receive, this::receiveNotice);
    this.channels = opened;
    this.peers = new PeerTable(loop, clockNanos, log, self, opened);
    this.plan = HubPlan.of(self, List.of());
  }

  /** Creates the heartbeats of this process. */
  public interface HeartbeatSource {
    /** Returns a heartbeat with the present state of this process alone. */
    Heartbeat make(String sender, long sentNanos);

    /** Returns the changes of the upstream list after the position; no proof if unknown. */
    ListUpdate listSince(StorePosition position);

    /** Called when heartbeats have been sent to all receivers. */
    void onSent();
  }

  /**
   * Opens the port and starts to send heartbeats.
   *
   * @return the future of the open port; fails if the port can't be opened
   */
  public ChannelFuture start(InetSocketAddress address) {
    timer.every(INTERVAL_MS, "heartbeats", this::sendAll);
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childHandler(channels)
        .bind(address);
  }

  /** Adds a receiver of frames that are neither heartbeats nor notices. */
  public void addFrameReceiver(PeerFrames receiver) {
    channels.addReceiver(receiver);
  }

  /** Returns the addresses by name of the other processes that seem alive. */
  public Map<String, String> reachableAddresses() {
    return peers.reachableAddresses(plan.isFullMesh());
  }

  /**
   * Adds a process and removes an earlier incarnation of the same node.
   *
   * @param location the name of the incarnation and its zone, not null
   * @param address its address for heartbeats, not null
   * @param position the position of its announcement in the store: the latest counts, not null
   */
  public void add(ProcessLocation location, String address, StorePosition position) {
    peers.add(location, address, position);
  }

  /** Records that the announcements of all processes have been read again. */
  public void noteListed() {
    peers.noteListed();
  }

  /** Removes a process. */
  public void remove(String name) {
    peers.remove(name);
  }

  @Override
  public int aliveCount() {
    return 1 + countProcesses(Peer.ALIVE_NANOS);
  }

  /** Returns the number of processes that common budgets are divided by. */
  public int sharingCount() {
    return 1 + countProcesses(SHARE_NANOS);
  }

  /** Returns the names of the peers that are asked to try silent boxes, and report the result. */
  public Set<String> witnessNames() {
    Scope scope = plan.isFullMesh() ? Scope.SELF : isHub() ? Scope.HUB : Scope.REST;
    Set<String> names = new HashSet<>();
    peersInScope(scope, Peer.ALIVE_NANOS).forEach(peer -> names.add(peer.name()));
    return names;
  }

  /**
   * Returns the names of the processes that limits of upstreams are divided among, including this
   * one: all alive processes, or in a large system the hubs. Empty for a member of a hub, which has
   * no view of the alive processes.
   */
  public Set<String> sharers() {
    if (isMember()) {
      return Set.of();
    }
    Set<String> names = witnessNames();
    names.add(self.name());
    return names;
  }

  /** Returns the latest heartbeats that together cover all others, with their times of arrival. */
  public Map<Heartbeat, Long> latestHeartbeats() {
    Map<Heartbeat, Long> latest = new IdentityHashMap<>();
    for (ReceivedHeartbeat received : coverage(Peer.ALIVE_NANOS)) {
      latest.put(received.heartbeat(), received.receivedNanos());
    }
    return latest;
  }

  @Override
  public @Nullable Set<String> ownedDomains() {
    List<ReceivedHeartbeat> latest = coverage(Peer.ALIVE_NANOS);
    if (latest.isEmpty() && !peers.all().isEmpty()) {
      return null;
    }
    Set<String> owned = new HashSet<>();
    latest.forEach(received -> owned.addAll(received.heartbeat().ownedDomains()));
    return owned;
  }

  @Override
  public Set<String> names() {
    return peers.names();
  }

  /**
   * Returns true if this process reads the upstream list from the store and sends its changes to
   * the other processes.
   */
  public boolean isReader() {
    return isReader;
  }

  /** Returns true if this process exchanges heartbeats with a hub only. */
  public boolean isMember() {
    return !plan.isFullMesh() && !isHub();
  }

  /**
   * Returns true while this process does not need the process list: it is a member whose hub
   * answers, and no unknown process has recently sent it a heartbeat.
   */
  public boolean canSkipProcessList() {
    return isMember()
        && clockNanos.getAsLong() - unknownSenderNanos > UNKNOWN_SENDER_NANOS
        && !peersInScope(Scope.REST, Peer.ALIVE_NANOS).isEmpty();
  }

  /**
   * Sets the listener for suspicions of the other processes.
   *
   * @param listener called with the ids of stalled heads, not null. It returns true if this process
   *     did not suspect one of them before, in which case a hub forwards the notice
   */
  public void setSuspicionListener(Predicate<Set<String>> listener) {
    suspicionListener = listener;
  }

  /** Sends a notice of stalled heads at once, to all processes or to the hub, which forwards it. */
  public void sendSuspicion(Set<String> heads) {
    if (plan.isFullMesh()) {
      sendNotice(Scope.SELF, heads, peers.all());
    } else if (isHub()) {
      sendNoticeToHubs(heads);
      sendNoticeToMembers(heads, self.name());
    } else if (ownHub() != null) {
      sendNotice(Scope.MEMBER, heads, List.of(ownHub()));
    }
  }

  private void sendNotice(Scope scope, Set<String> heads, Collection<Peer> receivers) {
    byte[] frame = new SuspicionNotice(self.name(), scope, heads).toBytes();
    receivers.forEach(peer -> peer.sendNotice(frame));
  }

  private void sendNoticeToHubs(Set<String> heads) {
    sendNotice(Scope.HUB, heads, reachableHubs(peersInScope(Scope.HUB, Peer.ALIVE_NANOS)));
  }

  private void sendNoticeToMembers(Set<String> heads, String except) {
    List<Peer> members = new ArrayList<>(peersInScope(Scope.MEMBER, Peer.ALIVE_NANOS));
    members.removeIf(member -> member.name().equals(except));
    sendNotice(Scope.REST, heads, members);
  }

  /** Handles a notice; a hub forwards only new suspicions, so that no notice is sent in a loop. */
  private void receiveNotice(SuspicionNotice notice) {
    if (!suspicionListener.test(notice.heads()) || !isHub()) {
      return;
    }
    if (notice.scope() == Scope.MEMBER) {
      sendNoticeToHubs(notice.heads());
    }
    if (notice.scope() == Scope.MEMBER || notice.scope() == Scope.HUB) {
      sendNoticeToMembers(notice.heads(), notice.sender());
    }
  }

  /** Sends heartbeats ahead of the regular interval, since a change is urgent. */
  public void sendSoon() {
    if (!isUrgent) {
      isUrgent = true;
      long sinceMs = TimeUnit.NANOSECONDS.toMillis(clockNanos.getAsLong() - sentNanos);
      long intervalMs = plan.isFullMesh() ? URGENT_INTERVAL_MS : HUB_URGENT_INTERVAL_MS;
      timer.once(Math.max(0, intervalMs - sinceMs), "urgent heartbeats", this::sendAll);
    }
  }

  /** Sends heartbeats ahead of the regular interval if this process is a hub, to forward state. */
  public void sendSoonIfHub() {
    if (isHub()) {
      sendSoon();
    }
  }

  private int countProcesses(long windowNanos) {
    return coverage(windowNanos).stream().mapToInt(one -> one.heartbeat().processes()).sum();
  }

  /** Returns heartbeats that together cover all other processes, each by exactly one of them. */
  private List<ReceivedHeartbeat> coverage(long windowNanos) {
    if (plan.isFullMesh()) {
      return Digest.latestOf(peersInScope(Scope.SELF, windowNanos));
    }
    if (isHub()) {
      List<Peer> hubsAndMembers = new ArrayList<>(peersInScope(Scope.HUB, windowNanos));
      hubsAndMembers.addAll(peersInScope(Scope.MEMBER, windowNanos));
      return Digest.latestOf(hubsAndMembers);
    }
    // Of a former and a present hub, only the latest heartbeat counts: each covers all others.
    return peersInScope(Scope.REST, windowNanos).stream()
        .max(Comparator.comparingLong(peer -> peer.lastReceivedNanos()))
        .map(peer -> Digest.latestOf(List.of(peer)))
        .orElse(List.of());
  }

  /** Returns the peers whose latest heartbeat has the scope and arrived within the window. */
  private List<Peer> peersInScope(Scope scope, long windowNanos) {
    return peers.inScope(scope, windowNanos);
  }

  /** Returns true if this process is a hub by its own plan or by that of another process. */
  public boolean isHub() {
    return plan.isHub() || !peersInScope(Scope.MEMBER, Peer.ALIVE_NANOS).isEmpty();
  }

  private void sendAll() {
    long nowNanos = clockNanos.getAsLong();
    sentNanos = nowNanos;
    isUrgent = false;
    updatePlan(nowNanos);
    Heartbeat own = source.make(self.name(), nowNanos);
    if (plan.isFullMesh()) {
      peers.all().forEach(peer -> peer.send(own.withListUpdate(updateFor(peer, own)), nowNanos));
    } else if (isHub()) {
      sendAsHub(own, nowNanos);
    } else {
      sendToHub(own.withScope(Scope.MEMBER), nowNanos);
    }
    reportsOfMembers.clear();
    reportsOfHubs.clear();
    peers.all().forEach(peer -> peer.closeIfUnused(nowNanos));
    source.onSent();
  }

  private void updatePlan(long nowNanos) {
    if (nowNanos - plannedNanos < PLAN_NANOS) {
      return;
    }
    plannedNanos = nowNanos;
    Set<ProcessLocation> usable = new HashSet<>();
    for (Peer peer : peers.all()) {
      if (!peer.isUnresponsive(nowNanos)) {
        usable.add(peer.location());
      }
    }
    if (!usable.equals(plannedLocations)) {
      plannedLocations = usable;
      choosePlan(HubPlan.of(self, usable));
    }
    updateReader();
  }

  private void choosePlan(HubPlan next) {
    if (!Objects.equals(next.ownHub(), plan.ownHub()) || next.isHub() != plan.isHub()) {
      log.write("hub_chosen", "isHub", next.isHub(), "hub", String.valueOf(next.ownHub()));
    }
    plan = next;
  }

  /** Determines by rank among the hubs, or in a full mesh among all, whether this is a reader. */
  private void updateReader() {
    Set<String> names = new HashSet<>();
    names.add(self.name());
    Scope scope = plan.isFullMesh() ? Scope.SELF : Scope.HUB;
    peersInScope(scope, Peer.ALIVE_NANOS).forEach(peer -> names.add(peer.name()));
    isReader = !isMember() && Rendezvous.positionOf(self.name(), READER_KEY, names) < READERS;
  }

  private @Nullable Peer ownHub() {
    return plan.ownHub() == null ? null : peers.find(plan.ownHub());
  }

  private void sendToHub(Heartbeat own, long nowNanos) {
    Peer hub = ownHub();
    if (hub != null) {
      hub.sendExpectingAnswer(own, nowNanos);
    }
  }

  private void sendAsHub(Heartbeat own, long nowNanos) {
    List<Peer> members = peersInScope(Scope.MEMBER, Peer.ALIVE_NANOS);
    List<Peer> aliveHubs = peersInScope(Scope.HUB, Peer.ALIVE_NANOS);
    List<ReceivedHeartbeat> fromMembers = Digest.latestOf(members);
    List<ReceivedHeartbeat> receivedFromHubs = Digest.latestOf(aliveHubs);
    List<FleetBox> reports = new ArrayList<>(own.reports());
    reports.addAll(reportsOfMembers);
    Heartbeat toHubs =
        Digest.merge(own, Scope.HUB, fromMembers, List.of(), reports, ListUpdate.NONE, nowNanos);
    reachableHubs(aliveHubs)
        .forEach(
            hub -> hub.sendExpectingAnswer(toHubs.withListUpdate(updateFor(hub, own)), nowNanos));
    reports.addAll(reportsOfHubs);
    List<ReceivedHeartbeat> all = new ArrayList<>(fromMembers);
    all.addAll(receivedFromHubs);
    Heartbeat total =
        Digest.merge(own, Scope.REST, all, receivedFromHubs, reports, ListUpdate.NONE, nowNanos);
    for (Peer member : members) {
      ListUpdate update = member.listUpdate(source::listSince, nowNanos);
      member.send(Digest.without(total, member.lastHeartbeat(), update), nowNanos);
    }
  }

  /** Returns the hubs of the plan and all others that send heartbeats as hubs. */
  private Set<Peer> reachableHubs(Collection<Peer> aliveHubs) {
    Set<Peer> hubs = new HashSet<>(aliveHubs);
    for (String name : plan.hubs()) {
      Peer hub = peers.find(name);
      if (hub != null) {
        hubs.add(hub);
      }
    }
    return hubs;
  }

  /** Returns the changes of the upstream list for a peer if this process is a reader. */
  private ListUpdate updateFor(Peer peer, Heartbeat own) {
    if (!isReader || !peer.hasHeartbeatWithin(Peer.ALIVE_NANOS, clockNanos.getAsLong())) {
      return own.listUpdate();
    }
    ListUpdate update = peer.listUpdate(source::listSince, clockNanos.getAsLong());
    return update.hasProof() ? update : own.listUpdate();
  }

  private void receive(Heartbeat heartbeat) {
    Peer peer = peers.findSender(heartbeat.sender());
    if (peer == null) {
      unknownSenderNanos = clockNanos.getAsLong();
      return;
    }
    peer.receive(heartbeat, clockNanos.getAsLong());
    if (heartbeat.scope() == Scope.MEMBER) {
      reportsOfMembers.addAll(heartbeat.reports());
    } else if (heartbeat.scope() == Scope.HUB) {
      reportsOfHubs.addAll(heartbeat.reports());
    }
    // Routing depends on replica heads only, so other reports are not urgent.
    if (heartbeat.reports().stream().anyMatch(FleetBox::isHead)) {
      sendSoonIfHub();
    }
    listener.accept(heartbeat);
  }
}
