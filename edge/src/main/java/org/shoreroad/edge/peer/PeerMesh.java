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
 * <p>Each process opens a connection to each one that it tells anything, and only sends on it. In a
 * small system each tells all others; in a large one members tell their hub, as {@link HubPlan}
 * says. Used on the event loop.
 *
 * @since 0.2
 */
public final class PeerMesh implements DomainLeases.Peers {
  /** Between two heartbeats to one peer. */
  static final int INTERVAL_MS = 200;

  /** News that can't wait are told at once, but not more often than this. */
  private static final long URGENT_GAP_MS = 50;

  /** The same gap with hubs, where each urgent heartbeat reaches all processes. */
  private static final long URGENT_GAP_OF_HUBS_MS = 100;

  /** How long a peer that was alive still counts for shares of common budgets. */
  private static final long SHARE_NANOS = TimeUnit.SECONDS.toNanos(30);

  /**
   * How long after a heartbeat of an unknown process the process list counts as incomplete: one
   * read at the longest interval of reads, 4 s, and its way.
   */
  private static final long STRANGER_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** How often the plan is made anew. */
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
  private Set<ProcessLocation> plannedPlaces = Set.of();
  private boolean isReader = true;
  private long plannedNanos;
  private long strangerNanos = Long.MIN_VALUE / 2;
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

  /** Makes the heartbeats of this process. */
  public interface HeartbeatSource {
    /** Returns what to tell now, for this process alone. */
    Heartbeat make(String sender, long sentNanos);

    /**
     * Returns what a process lacks of the list that has read as far as the position, or an update
     * without a proof if that is not known.
     */
    ListUpdate listSince(StorePosition position);

    /** Tells that all peers were told. */
    void onSent();
  }

  /**
   * Opens the port and begins to send.
   *
   * @return tells when the port is open, or why it can't be
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

  /**
   * Adds a process; an earlier incarnation of the same node is over.
   *
   * @param place the name of the incarnation and its zone
   * @param address where it takes heartbeats
   * @param position the place of its announcement among all: a later one counts, not null
   */
  public void add(ProcessLocation place, String address, StorePosition position) {
    peers.add(place, address, position);
  }

  /** Takes note that the announcements of all processes were read anew. */
  public void noteListed() {
    peers.noteListed();
  }

  /** Forgets a process. */
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

  /** Returns the names of the peers that are asked, and answer, whether a box is silent for all. */
  public Set<String> witnessNames() {
    Scope scope = plan.isFullMesh() ? Scope.SELF : isHub() ? Scope.HUB : Scope.REST;
    Set<String> names = new HashSet<>();
    heard(scope, Peer.ALIVE_NANOS).forEach(peer -> names.add(peer.name()));
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

  /** Returns the newest heartbeats that together speak for all others, with when each was heard. */
  public Map<Heartbeat, Long> latestHeartbeats() {
    Map<Heartbeat, Long> newest = new IdentityHashMap<>();
    for (ReceivedHeartbeat heard : speakers(Peer.ALIVE_NANOS)) {
      newest.put(heard.heartbeat(), heard.receivedNanos());
    }
    return newest;
  }

  @Override
  public @Nullable Set<String> keptDomains() {
    List<ReceivedHeartbeat> speakers = speakers(Peer.ALIVE_NANOS);
    if (speakers.isEmpty() && !peers.all().isEmpty()) {
      return null;
    }
    Set<String> kept = new HashSet<>();
    speakers.forEach(heard -> kept.addAll(heard.heartbeat().ownedDomains()));
    return kept;
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
   * Returns true while the process list can bring this process nothing that it needs: it is a
   * member whose hub answers, and no unknown process has sent it heartbeats.
   */
  public boolean canSkipProcessList() {
    return isMember()
        && clockNanos.getAsLong() - strangerNanos > STRANGER_NANOS
        && !heard(Scope.REST, Peer.ALIVE_NANOS).isEmpty();
  }

  /**
   * Sets the listener for suspicions of the other processes.
   *
   * @param listener takes the ids of silent heads and returns true if one of them is newly
   *     suspected here, so that a hub passes the notice on, not null
   */
  public void setSuspicionListener(Predicate<Set<String>> listener) {
    suspicionListener = listener;
  }

  /** Sends a notice of silent heads at once, to all processes or to the hub, which passes it on. */
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
    sendNotice(Scope.HUB, heads, reachableHubs(heard(Scope.HUB, Peer.ALIVE_NANOS)));
  }

  private void sendNoticeToMembers(Set<String> heads, String except) {
    List<Peer> members = new ArrayList<>(heard(Scope.MEMBER, Peer.ALIVE_NANOS));
    members.removeIf(member -> member.name().equals(except));
    sendNotice(Scope.REST, heads, members);
  }

  /** Takes a notice; a hub passes on what is new to it, so that no notice goes round. */
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

  /** Tells all peers soon, since something can't wait. */
  public void sendSoon() {
    if (!isUrgent) {
      isUrgent = true;
      long sinceMs = TimeUnit.NANOSECONDS.toMillis(clockNanos.getAsLong() - sentNanos);
      long gapMs = plan.isFullMesh() ? URGENT_GAP_MS : URGENT_GAP_OF_HUBS_MS;
      timer.once(Math.max(0, gapMs - sinceMs), "urgent heartbeats", this::sendAll);
    }
  }

  /** Sends heartbeats soon if this process is a hub, to pass on what it has just received. */
  public void sendSoonIfHub() {
    if (isHub()) {
      sendSoon();
    }
  }

  private int countProcesses(long windowNanos) {
    return speakers(windowNanos).stream().mapToInt(heard -> heard.heartbeat().processes()).sum();
  }

  /** Returns the heartbeats that together speak for all others, each process by one of them. */
  private List<ReceivedHeartbeat> speakers(long windowNanos) {
    if (plan.isFullMesh()) {
      return toHeard(heard(Scope.SELF, windowNanos));
    }
    if (isHub()) {
      List<Peer> speakers = new ArrayList<>(heard(Scope.HUB, windowNanos));
      speakers.addAll(heard(Scope.MEMBER, windowNanos));
      return toHeard(speakers);
    }
    // The heartbeats of the present hub cover those of a former one.
    return heard(Scope.REST, windowNanos).stream()
        .max(Comparator.comparingLong(peer -> peer.lastReceivedNanos()))
        .map(peer -> toHeard(List.of(peer)))
        .orElse(List.of());
  }

  private static List<ReceivedHeartbeat> toHeard(Collection<Peer> peers) {
    return peers.stream().map(peer -> new ReceivedHeartbeat(peer.lastHeartbeat(), peer.lastReceivedNanos())).toList();
  }

  /** Returns the peers whose newest heartbeat came within the time and has the scope. */
  private List<Peer> heard(Scope scope, long windowNanos) {
    long nowNanos = clockNanos.getAsLong();
    return peers.all().stream()
        .filter(peer -> peer.hasHeartbeatWithin(windowNanos, nowNanos) && peer.lastHeartbeat().scope() == scope)
        .toList();
  }

  /** Returns true if this process is a hub by the plan, or others took it as theirs. */
  private boolean isHub() {
    return plan.isHub() || !heard(Scope.MEMBER, Peer.ALIVE_NANOS).isEmpty();
  }

  private void sendAll() {
    long nowNanos = clockNanos.getAsLong();
    sentNanos = nowNanos;
    isUrgent = false;
    makePlan(nowNanos);
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

  private void makePlan(long nowNanos) {
    if (nowNanos - plannedNanos < PLAN_NANOS) {
      return;
    }
    plannedNanos = nowNanos;
    Set<ProcessLocation> usable = new HashSet<>();
    for (Peer peer : peers.all()) {
      if (!peer.isUnresponsive(nowNanos)) {
        usable.add(peer.place());
      }
    }
    if (!usable.equals(plannedPlaces)) {
      plannedPlaces = usable;
      choosePlan(HubPlan.of(self, usable));
    }
    chooseReaders();
  }

  private void choosePlan(HubPlan next) {
    if (!Objects.equals(next.ownHub(), plan.ownHub()) || next.isHub() != plan.isHub()) {
      log.write("hub_chosen", "isHub", next.isHub(), "hub", String.valueOf(next.ownHub()));
    }
    plan = next;
  }

  /** Makes this process a reader if it ranks among the first hubs, or first of all without hubs. */
  private void chooseReaders() {
    Set<String> names = new HashSet<>();
    names.add(self.name());
    Scope scope = plan.isFullMesh() ? Scope.SELF : Scope.HUB;
    heard(scope, Peer.ALIVE_NANOS).forEach(peer -> names.add(peer.name()));
    isReader = !isMember() && Rendezvous.placeOf(self.name(), READER_KEY, names) < READERS;
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
    List<Peer> members = heard(Scope.MEMBER, Peer.ALIVE_NANOS);
    List<Peer> aliveHubs = heard(Scope.HUB, Peer.ALIVE_NANOS);
    List<ReceivedHeartbeat> hubsHeard = toHeard(aliveHubs);
    List<FleetBox> reports = new ArrayList<>(own.reports());
    reports.addAll(reportsOfMembers);
    Heartbeat toHubs =
        Digest.merge(
            own, Scope.HUB, toHeard(members), List.of(), reports, ListUpdate.NONE, nowNanos);
    reachableHubs(aliveHubs)
        .forEach(
            hub -> hub.sendExpectingAnswer(toHubs.withListUpdate(updateFor(hub, own)), nowNanos));
    reports.addAll(reportsOfHubs);
    List<ReceivedHeartbeat> all = new ArrayList<>(toHeard(members));
    all.addAll(hubsHeard);
    Heartbeat total =
        Digest.merge(own, Scope.REST, all, hubsHeard, reports, ListUpdate.NONE, nowNanos);
    for (Peer member : members) {
      ListUpdate update = member.listUpdate(source::listSince, nowNanos);
      member.send(Digest.without(total, member.lastHeartbeat(), update), nowNanos);
    }
  }

  /** Returns the hubs of the plan and those that are heard. */
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

  /** Returns the changes of the list for a peer if this process is a reader. */
  private ListUpdate updateFor(Peer peer, Heartbeat own) {
    if (!isReader || !peer.hasHeartbeatWithin(Peer.ALIVE_NANOS, clockNanos.getAsLong())) {
      return own.listUpdate();
    }
    ListUpdate update = peer.listUpdate(source::listSince, clockNanos.getAsLong());
    return update.isProof() ? update : own.listUpdate();
  }

  private void receive(Heartbeat heartbeat) {
    Peer peer = peers.findSender(heartbeat.sender());
    if (peer == null) {
      strangerNanos = clockNanos.getAsLong();
      return;
    }
    peer.receive(heartbeat, clockNanos.getAsLong());
    if (heartbeat.scope() == Scope.MEMBER) {
      reportsOfMembers.addAll(heartbeat.reports());
    } else if (heartbeat.scope() == Scope.HUB) {
      reportsOfHubs.addAll(heartbeat.reports());
    }
    // Routing depends on heads only; reports of other members are not urgent.
    if (heartbeat.reports().stream().anyMatch(FleetBox::isHead)) {
      sendSoonIfHub();
    }
    listener.accept(heartbeat);
  }
}
