package org.shoreroad.edge.relay;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.ConfigurationView;
import org.shoreroad.edge.EdgePorts;
import org.shoreroad.edge.EdgeProcess;
import org.shoreroad.edge.EdgeSettings;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.IgnoredValue;
import org.shoreroad.edge.caller.HeldBytes;
import org.shoreroad.edge.caller.HeldBytesRule;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.room.RoomMode;
import org.shoreroad.edge.sync.StoreEra;
import org.shoreroad.edge.sync.Topic;
import org.shoreroad.fleet.EngineSpec;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ModelShape;
import org.shoreroad.fleet.ReplicaId;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.RequestKind;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.ServiceShare;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/**
 * Whole processes in one JVM, each with an event loop of its own and a separate network path to
 * each upstream. Not thread-safe.
 */
final class EdgeSite implements AutoCloseable {
  static final String KEY = "secret";
  static final int DEADLINE_MS = 3_000;

  private static final int REVOKE_MS = 4_000;
  private static final int CONNECT_TIMEOUT_MS = 400;
  private static final int SLOTS = 18;
  private static final byte[] NO_BYTES = {};

  private final SharedStore store = new SharedStore();
  private final Map<String, FakeUpstream> upstreams = new HashMap<>();
  private final List<Member> members = new CopyOnWriteArrayList<>();
  private final Map<String, Integer> starts = new ConcurrentHashMap<>();

  /** Starts upstreams that are listed with their ids. */
  EdgeSite(Map<String, FakeUpstream> upstreams) {
    this.upstreams.putAll(upstreams);
    store.put(Topic.CONFIGURATION, "config", NO_BYTES);
    upstreams.keySet().forEach(id -> store.put(Topic.UPSTREAMS, id, NO_BYTES));
  }

  /** Starts a process. */
  Member start(String node, String zone) throws Exception {
    Member member = new Member(node, zone);
    members.add(member);
    return member;
  }

  List<Member> members() {
    return members;
  }

  /** Ends a process. */
  void stop(Member member) throws Exception {
    members.remove(member);
    member.close();
  }

  /** Ends an upstream: resets its connections and refuses new ones until it starts again. */
  void crash(String id) throws IOException {
    for (Member member : members) {
      member.paths.get(id).cut(PathProxy.Cut.RESET);
    }
  }

  /** Starts an upstream again after it has crashed, as a new incarnation. */
  void restart(String id) throws IOException {
    for (Member member : members) {
      if (member.cut == null) {
        member.paths.get(id).heal();
      }
    }
    int start = starts.merge(id, 1, Integer::sum);
    store.put(Topic.UPSTREAMS, id, new byte[] {(byte) start});
  }

  /** Returns the name of the process that holds a fabric domain, empty if there is none. */
  String holder(String domain) {
    return store.holder(domain);
  }

  @Override
  public void close() throws Exception {
    for (Member member : members) {
      member.close();
    }
    for (FakeUpstream upstream : upstreams.values()) {
      upstream.close();
    }
  }

  /** One process and its paths to the upstreams. */
  final class Member implements AutoCloseable {
    private final NioEventLoopGroup group = new NioEventLoopGroup(1);
    private final Map<String, PathProxy> paths = new HashMap<>();
    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private final EventLog log;
    private final List<InetSocketAddress> addresses = freeAddresses(4);
    private final EdgeProcess process;
    private volatile PathProxy.@Nullable Cut cut;
    private volatile @Nullable Throwable startFailure;

    private Member(String node, String zone) throws Exception {
      for (Map.Entry<String, FakeUpstream> upstream : upstreams.entrySet()) {
        paths.put(upstream.getKey(), new PathProxy(upstream.getValue().address()));
      }
      EventLoop loop = group.next();
      log = new EventLog(node, System::nanoTime, logged);
      SharedStore.View view = store.viewOf(loop);
      EdgePorts ports =
          new EdgePorts(
              LoopbackRelay.NAMES,
              view,
              view,
              new StoreEra(log),
              new PathEngines(loop, () -> cut),
              new ConfigDecoder(),
              this::decode);
      EdgeSettings settings =
          new EdgeSettings(
              node,
              zone,
              addresses.get(0),
              addresses.get(1),
              addresses.get(2),
              addresses.get(3),
              REVOKE_MS,
              true,
              5_000,
              4_000,
              new RelayRules(0.2, 100, 10),
              RoomMode.NEVER,
              HeldBytesRule.forMemory(HeldBytes.bufferMemoryBytes()));
      process =
          loop.submit(
                  () ->
                      new EdgeProcess(
                          settings,
                          ports,
                          loop,
                          new HttpCalls(loop, System::nanoTime, CONNECT_TIMEOUT_MS),
                          System::nanoTime,
                          System::currentTimeMillis,
                          log))
              .get();
      loop.submit(() -> process.start(cause -> startFailure = cause)).sync();
    }

    private FleetBox decode(String id, byte[] entry) {
      String address = paths.get(id).address();
      int start = entry.length == 0 ? 0 : entry[0];
      if (id.startsWith(LoopbackRelay.HEAD_PREFIX)) {
        ReplicaId replica = new ReplicaId("r-" + id + "|" + id + "|" + address, 1);
        Membership head = new Membership(replica, 0, MemberState.OPEN);
        return new FleetBox(id, "llm", address, "z", SLOTS, false, "d", "m", List.of(), head)
            .withStart(start);
      }
      return new FleetBox(id, "web", address, "z", 6, false, null, null, List.of(), null)
          .withStart(start);
    }

    /** Throws an exception if a port could not be opened. */
    void checkStarted() {
      if (startFailure != null) {
        throw new IllegalStateException(startFailure);
      }
    }

    InetSocketAddress callers() {
      return addresses.get(0);
    }

    /** Cuts the paths to all upstreams. */
    void cutAll(PathProxy.Cut how) throws IOException {
      cut(how, paths.keySet());
    }

    /** Cuts the paths to some upstreams. */
    void cut(PathProxy.Cut how, Set<String> ids) throws IOException {
      cut = how;
      for (String id : ids) {
        paths.get(id).cut(how);
      }
    }

    void healAll() throws IOException {
      for (PathProxy path : paths.values()) {
        path.heal();
      }
      cut = null;
    }

    /** Returns the number of writes of this process to upstreams. */
    int directSends() {
      return paths.values().stream().mapToInt(PathProxy::sends).sum();
    }

    /** Returns all log lines so far. */
    String logged() {
      log.flush();
      return logged.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() throws Exception {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
      for (PathProxy path : paths.values()) {
        path.close();
      }
    }
  }

  /** Returns different addresses at which nothing listens. */
  private static List<InetSocketAddress> freeAddresses(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      ServerSocket socket = TestPorts.listen(1);
      sockets.add(socket);
      addresses.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort()));
    }
    for (ServerSocket socket : sockets) {
      socket.close();
    }
    return addresses;
  }

  private static final class ConfigDecoder implements ConfigurationView.Decoder {
    @Override
    public boolean isConfiguration(String key) {
      return key.equals("config");
    }

    @Override
    public TrafficConfig decode(byte[] value, Consumer<IgnoredValue> ignoredValues) {
      EngineSpec engine =
          new EngineSpec(
              SLOTS,
              1_000_000,
              20,
              0,
              0,
              46_000,
              2_048,
              1,
              4,
              6,
              200,
              List.of(new ModelShape("m", 1, 1, 1, 9, 1)));
      return TrafficConfig.of(
          1,
          List.of(
              route("/once/", RequestKind.ONCE, "web", 1),
              route("/again/", RequestKind.REPEATABLE, "web", 2),
              route("/llm/", RequestKind.STREAM, "llm", 2)),
          List.of(new UpstreamService("web", 100, null), new UpstreamService("llm", 100, engine)),
          List.of(new ClientAccount("office", Set.of(KEY), ClientAccount.NO_PRIORITY)),
          CallerLimits.DEFAULT);
    }

    private static Route route(String prefix, RequestKind kind, String service, int attempts) {
      return new Route(
          prefix,
          "h.example",
          prefix,
          kind,
          DEADLINE_MS,
          400,
          300,
          1,
          List.of(new ServiceShare(service, 1)),
          attempts,
          false,
          kind == RequestKind.STREAM);
    }
  }
}
