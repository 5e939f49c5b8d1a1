package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.edge.caller.HeldBytes;
import org.shoreroad.edge.caller.HeldBytesRule;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.edge.sync.StoreRecord;
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

/** Fixture with a relay between callers and scripted upstreams, over real sockets on loopback. */
abstract class LoopbackRelay {
  static final HeaderNames NAMES =
      new HeaderNames(
          "X-Attempt",
          "X-Deadline",
          "X-Model",
          "X-Tokens",
          "Last-Event-Id",
          "X-Expect",
          "X-Account",
          "X-Rank",
          "X-Seal",
          "X-Not-Run",
          "X-Limit",
          "X-Leaving",
          "X-Length-Hint",
          "X-Cold-Ms",
          "X-Parts");
  static final int READ_TIMEOUT_MS = 10_000;

  /** Prefix of the ids of upstreams that are heads of replicas of model {@code m}. */
  static final String HEAD_PREFIX = "head-";

  static final String SELF = "front-1~a";

  /** Response head of a stream. */
  static final String STREAM_HEAD =
      "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n";

  static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
  private static final int SLOTS = 4;
  private final AtomicLong clockOffsetNanos = new AtomicLong();
  final LongSupplier clockNanos = () -> System.nanoTime() + clockOffsetNanos.get();
  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  final EventLoop loop = group.next();
  private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
  final EventLog log = new EventLog("test", clockNanos, logged);
  final Fleet fleet = new Fleet(LoopbackRelay::decode, clockNanos, log);
  private final List<FakeUpstream> upstreams = new ArrayList<>();
  final UpstreamTable table = new UpstreamTable(fleet, clockNanos, log);
  private final StallDetector stalls = new StallDetector(table, clockNanos, log);
  final FakeConfigurationSource configurationSource =
      new FakeConfigurationSource(config(engine(), routeTimeoutMs(), accounts()));
  final EdgeMetrics metrics = new EdgeMetrics();
  final RequestQuarantine quarantine = new RequestQuarantine(clockNanos, log, metrics);
  final Backpressure backpressure = new Backpressure(SELF, NAMES, clockNanos, log, metrics);
  Relay relay;
  HeldBytes held;

  /** The callers whose connections were ended because of the bytes held for them. */
  final List<HeldBytesRule.Reason> endedCallers = new CopyOnWriteArrayList<>();

  private InetSocketAddress address;
  private long offset;

  private static FleetBox decode(String id, byte[] entry) {
    String address = new String(entry, StandardCharsets.UTF_8);
    if (id.startsWith(HEAD_PREFIX)) {
      Membership head = new Membership(new ReplicaId("r-" + id, 1), 0, MemberState.OPEN);
      return new FleetBox(id, "llm", address, "z", SLOTS, false, "d", "m", List.of(), head);
    }
    return new FleetBox(id, "web", address, "z", 6, false, null, null, List.of(), null);
  }

  private static EngineSpec engine() {
    return new EngineSpec(
        SLOTS,
        9_999,
        1,
        0,
        0,
        46_000,
        64,
        1,
        4,
        6,
        200,
        List.of(new ModelShape("m", 1, 1, 1, 9, 1)));
  }

  private static TrafficConfig config(
      EngineSpec engine, int timeoutMs, List<ClientAccount> accounts) {
    List<ServiceShare> web = List.of(new ServiceShare("web", 1));
    return TrafficConfig.of(
        1,
        List.of(
            route("/once/", RequestKind.ONCE, web, 1, timeoutMs),
            route("/again/", RequestKind.REPEATABLE, web, 2, timeoutMs),
            route("/stream/", RequestKind.STREAM, web, 2, timeoutMs),
            route("/llm/", RequestKind.STREAM, List.of(new ServiceShare("llm", 1)), 2, timeoutMs)),
        List.of(new UpstreamService("web", 100, null), new UpstreamService("llm", 100, engine)),
        accounts,
        CallerLimits.DEFAULT);
  }

  private static Route route(
      String prefix, RequestKind kind, List<ServiceShare> shares, int attempts, int timeoutMs) {
    return new Route(
        prefix, "h.example", prefix, kind, timeoutMs, 200, 100, 1, shares, attempts, false, true);
  }

  @BeforeEach
  void start() throws Exception {
    backpressure.setLeavingListener(fleet::noteLeaving);
    relay =
        new Relay(
            loop,
            clockNanos,
            new SplittableRandom(1),
            log,
            metrics,
            NAMES,
            new HttpCalls(loop, clockNanos, 500),
            new UpstreamSelector(table, backpressure, clockNanos, new SplittableRandom(2), "z"),
            stalls,
            configurationSource,
            rules(),
            quarantine,
            backpressure);
    held =
        new HeldBytes(
            heldBytesRule(),
            new HeldBytes.Listener() {
              @Override
              public void onEnded(HeldBytesRule.Reason reason, long heldBytes, long unreadMs) {
                endedCallers.add(reason);
              }

              @Override
              public void onRefused() {
                // Its answer shows it.
              }
            });
    CallerServer server =
        new CallerServer(loop, clockNanos, () -> CallerLimits.DEFAULT, relay, reason -> {}, held);
    address =
        (InetSocketAddress)
            server
                .start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .sync()
                .channel()
                .localAddress();
    loop.submit(relay::start).sync();
  }

  @AfterEach
  void stop() throws Exception {
    loop.submit(this::checkEachRequestHasOneEnd).sync();
    for (FakeUpstream upstream : upstreams) {
      upstream.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  private void checkEachRequestHasOneEnd() {
    long ended = sumOfMetrics("shoreroad_requests_ended_total{");
    assertThat("ends and open", ended + relay.openCount(), is(relay.acceptedCount()));
  }

  /** Returns how many requests have ended in this way. */
  final long endedCount(RequestEnd end) throws Exception {
    String prefix = "shoreroad_requests_ended_total{reason=\"" + end.code() + "\"}";
    return loop.submit(() -> sumOfMetrics(prefix)).get();
  }

  private long sumOfMetrics(String prefix) {
    return metrics
        .toPrometheusText()
        .lines()
        .filter(line -> line.startsWith(prefix))
        .mapToLong(line -> (long) Double.parseDouble(line.substring(line.indexOf(' '))))
        .sum();
  }

  final FakeUpstream upstream(String id, FakeUpstream.Script script) throws Exception {
    return add(id, new FakeUpstream(script));
  }

  /** Adds an upstream to the list of upstreams, and closes it after the test. */
  final FakeUpstream add(String id, FakeUpstream upstream) throws Exception {
    upstreams.add(upstream);
    list(id, upstream);
    return upstream;
  }

  /** Adds the upstream to the list of upstreams. */
  final void list(String id, FakeUpstream upstream) throws Exception {
    write(id, upstream.address().getBytes(StandardCharsets.UTF_8));
  }

  /** Removes the upstream from the list of upstreams. */
  final void unlist(String id) throws Exception {
    write(id, null);
  }

  private void write(String id, byte @Nullable [] entry) throws Exception {
    StorePosition position = StorePosition.of(1, offset++);
    loop.submit(() -> fleet.onRecord(new StoreRecord(position, id, entry))).sync();
  }

  /** Moves the clock of the relay ahead. */
  final void advanceClock(int millis) {
    clockOffsetNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  /** Returns all log lines so far. */
  final String logged() {
    log.flush();
    return logged.toString(StandardCharsets.UTF_8);
  }

  /** Returns the limits on repeated attempts. */
  RelayRules rules() {
    return new RelayRules(0.2, 100, 10);
  }

  /** Returns the timeout of all routes, in milliseconds. */
  int routeTimeoutMs() {
    return 2_000;
  }

  /** Returns the client accounts. */
  List<ClientAccount> accounts() {
    return List.of(new ClientAccount("office", Set.of("secret"), ClientAccount.NO_PRIORITY));
  }

  /** Returns the bounds on what is held for callers. */
  HeldBytesRule heldBytesRule() {
    return HeldBytesRule.forMemory(HeldBytes.bufferMemoryBytes());
  }

  /** Returns the address for callers. */
  final InetSocketAddress address() {
    return address;
  }

  /** Answers each request completely. */
  static final FakeUpstream.Script SERVING =
      (head, out, socket) -> {
        write(out, wholeAnswer(head, "served"));
        return true;
      };

  /** Sends the first event of a stream and closes the connection. */
  static final FakeUpstream.Script BREAKS_OFF_MIDWAY =
      (head, out, socket) -> {
        write(out, STREAM_HEAD);
        writeChunk(out, FIRST_EVENT);
        return false;
      };

  /** Writes a chunk of an answer with chunked transfer encoding. */
  static void writeChunk(OutputStream out, String text) throws IOException {
    write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  static String wholeAnswer(String head, String body) {
    return "HTTP/1.1 200 OK\r\nX-Attempt: "
        + FakeUpstream.header(head, "X-Attempt")
        + "\r\nX-Seal: s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  final String call(String path) throws IOException {
    return call(path, "secret", "");
  }

  /** Sends one request and returns all bytes until the connection ends; "!" marks a reset. */
  final String call(String path, String key, String moreHeaders) throws IOException {
    return exchange(path, key, "Connection: close\r\n" + moreHeaders);
  }

  /** Sends one request on a connection that stays open, and returns the same. */
  final String callKeepingAlive(String path) throws IOException {
    return exchange(path, "secret", "");
  }

  /** Opens a connection to the relay, as a caller does. */
  final Socket connect() throws IOException {
    return new Socket(address.getAddress(), address.getPort());
  }

  private String exchange(String path, String key, String moreHeaders) throws IOException {
    try (Socket socket = connect()) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      write(
          socket.getOutputStream(),
          "GET "
              + path
              + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt: a1\r\nX-Deadline: 1500\r\n"
              + "X-Account: forged\r\nX-Model: m\r\nAuthorization: Bearer "
              + key
              + "\r\n"
              + moreHeaders
              + "\r\n");
      StringBuilder answer = new StringBuilder();
      try {
        InputStream in = socket.getInputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
          answer.append((char) next);
        }
      } catch (SocketException e) {
        answer.append('!');
      }
      return answer.toString();
    }
  }
}
