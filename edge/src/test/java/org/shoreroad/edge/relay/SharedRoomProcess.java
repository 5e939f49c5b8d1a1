package org.shoreroad.edge.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.peer.Heartbeat;
import org.shoreroad.edge.peer.HeartbeatAdditions;
import org.shoreroad.edge.peer.HeartbeatAdditions.RoomOwner;
import org.shoreroad.edge.peer.Heartbeats;
import org.shoreroad.edge.peer.PeerMesh;
import org.shoreroad.edge.room.RoomActivation;
import org.shoreroad.edge.room.RoomMode;
import org.shoreroad.edge.room.RoomSharing;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.fleet.ReplicaId;
import org.shoreroad.member.HubPlan.ProcessLocation;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.RequestKind;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.ServiceShare;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/**
 * Process with an event loop of its own: a relay, heartbeats to the other processes, and shared
 * room if asked for. Heads are listed as {@code DOMAIN-NAME}.
 */
final class SharedRoomProcess implements PeerMesh.HeartbeatSource, AutoCloseable {
  static final int SLOTS = 4;
  static final int TARGET_MS = 600;
  static final int DEADLINE_MS = 2_500;
  static final int PASS_MS = 10;
  static final int EVENTS = 10;

  private static final AtomicInteger COUNT = new AtomicInteger();

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  final EventLoop loop = group.next();
  private final Set<String> ownedDomains = new HashSet<>();
  private final Set<String> closingHeads = new HashSet<>();
  private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
  private final LongSupplier clockNanos = System::nanoTime;
  private final EventLog log;
  private final ProcessLocation location;
  private final EdgeMetrics metrics = new EdgeMetrics();
  private final Fleet fleet;
  private final UpstreamTable table;
  private final PeerMesh mesh;
  private final Relay relay;
  private final RoomSharing room;
  private final boolean sharesRoom;
  private final InetSocketAddress callerAddress;
  private final String peerAddress;
  private long offset;

  SharedRoomProcess(boolean sharesRoom) throws Exception {
    this.sharesRoom = sharesRoom;
    String name = "front-" + COUNT.incrementAndGet() + "~a";
    log = new EventLog(name, clockNanos, logged);
    location = new ProcessLocation(name, "z");
    fleet = new Fleet(SharedRoomProcess::decode, clockNanos, log);
    table = new UpstreamTable(fleet, clockNanos, log);
    mesh = new PeerMesh(loop, clockNanos, log, location, this, heartbeat -> {});
    Backpressure backpressure =
        new Backpressure(name, LoopbackRelay.NAMES, clockNanos, log, metrics);
    StallDetector stalls = new StallDetector(table, clockNanos, log);
    relay =
        new Relay(
            loop,
            clockNanos,
            new SplittableRandom(1),
            log,
            metrics,
            LoopbackRelay.NAMES,
            new HttpCalls(loop, clockNanos, 500),
            new UpstreamSelector(table, backpressure, clockNanos, new SplittableRandom(2), "z"),
            stalls,
            new FakeConfigurationSource(config()),
            new RelayRules(0.2, 100, 10),
            new RequestQuarantine(clockNanos, log, metrics),
            backpressure);
    InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    InetSocketAddress bound =
        (InetSocketAddress)
            loop.submit(() -> mesh.start(any)).sync().getNow().sync().channel().localAddress();
    peerAddress = "127.0.0.1:" + bound.getPort();
    room =
        new RoomSharing(
            loop,
            clockNanos,
            new SplittableRandom(3),
            log,
            metrics,
            new RoomOwner(name, peerAddress),
            "z",
            () -> Set.copyOf(ownedDomains),
            () -> mesh.latestHeartbeats().keySet(),
            SharedRoomProcess::config,
            new HeadViews(table, backpressure, clockNanos),
            () -> Set.copyOf(closingHeads),
            new RoomActivation(RoomMode.ALWAYS, List::of, service -> 0, clockNanos),
            isActive -> {});
    CallerServer server =
        new CallerServer(loop, clockNanos, () -> CallerLimits.DEFAULT, relay, reason -> {});
    callerAddress = (InetSocketAddress) server.start(any).sync().channel().localAddress();
    loop.submit(this::startTimers).sync();
  }

  private void startTimers() {
    relay.start();
    new RepeatingTimer(loop, log)
        .every(100, "loads", () -> table.setPeerLoads(mesh.latestHeartbeats()));
    if (sharesRoom) {
      relay.setRoomBroker(room.broker());
      mesh.addFrameReceiver(room);
      room.start();
    }
  }

  private static FleetBox decode(String id, byte[] entry) {
    String address = new String(entry, StandardCharsets.UTF_8);
    String domain = id.substring(0, id.indexOf('-'));
    Membership head = new Membership(new ReplicaId("r-" + id, 1), 0, MemberState.OPEN);
    return new FleetBox(id, "llm", address, "z", SLOTS, false, domain, "m", List.of(), head);
  }

  private static TrafficConfig config() {
    EngineSpec engine =
        new EngineSpec(
            SLOTS,
            1_000_000,
            PASS_MS,
            0,
            0,
            46_000,
            2_048,
            1,
            4,
            6,
            200,
            List.of(new ModelShape("m", 1, 1, 1, 9, 1)));
    Route route =
        new Route(
            "llm",
            "h.example",
            "/llm/",
            RequestKind.STREAM,
            DEADLINE_MS,
            TARGET_MS,
            200,
            1,
            List.of(new ServiceShare("llm", 1)),
            2,
            true,
            false);
    return TrafficConfig.of(
        1,
        List.of(route),
        List.of(new UpstreamService("llm", 0, engine)),
        List.of(),
        CallerLimits.DEFAULT);
  }

  /** Lets two processes exchange heartbeats. */
  static void connect(SharedRoomProcess one, SharedRoomProcess other) throws Exception {
    one.add(other);
    other.add(one);
  }

  private void add(SharedRoomProcess other) throws Exception {
    loop.submit(() -> mesh.add(other.location, other.peerAddress, StorePosition.of(1, 1))).sync();
  }

  /** Lists an open head of a domain. */
  void list(String id, String address) throws Exception {
    StorePosition position = StorePosition.of(1, offset++);
    byte[] entry = address.getBytes(StandardCharsets.UTF_8);
    loop.submit(() -> fleet.onRecord(new StoreRecord(position, id, entry))).sync();
  }

  void own(String domain) throws Exception {
    loop.submit(() -> ownedDomains.add("llm/" + domain)).sync();
  }

  /** Begins to close the replica of a head. */
  void closeHead(String id) throws Exception {
    loop.submit(() -> closingHeads.add(id)).sync();
  }

  InetSocketAddress callerAddress() {
    return callerAddress;
  }

  /** Returns the value of a counter, summed over the reasons. */
  long count(String name) throws Exception {
    String prefix = name.replace('.', '_') + "_total{";
    return loop.submit(
            () ->
                metrics
                    .toPrometheusText()
                    .lines()
                    .filter(line -> line.startsWith(prefix))
                    .mapToLong(line -> (long) Double.parseDouble(line.substring(line.indexOf(' '))))
                    .sum())
        .get();
  }

  /** Returns all log lines so far. */
  String logged() {
    log.flush();
    return logged.toString(StandardCharsets.UTF_8);
  }

  @Override
  public Heartbeat make(String sender, long sentNanos) {
    HeartbeatAdditions additions =
        sharesRoom ? room.contribute(HeartbeatAdditions.NONE) : HeartbeatAdditions.NONE;
    return Heartbeats.of(sender).withRoom(sentNanos, table.ownLoads(), additions);
  }

  @Override
  public ListUpdate listSince(StorePosition position) {
    return ListUpdate.readTo(position);
  }

  @Override
  public void onSent() {}

  /** Blocks the event loop for a time. */
  void suspend(int millis) {
    loop.execute(
        () -> {
          try {
            Thread.sleep(millis);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  /** Ends the process at once, without any farewell. */
  @Override
  public void close() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }
}
