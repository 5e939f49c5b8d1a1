package org.shoreroad.edge.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.matchesPattern;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
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
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.caller.CallerServer;
import org.shoreroad.edge.caller.HeaderNames;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StoreRecord;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.ClientAccount;
import org.shoreroad.traffic.RequestKind;
import org.shoreroad.traffic.Route;
import org.shoreroad.traffic.ServiceShare;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/** The way of requests over real sockets on loopback, with upstreams that misbehave. */
class RelayTest {
  private static final HeaderNames NAMES =
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
          "X-Not-Run");
  private static final int READ_TIMEOUT_MS = 10_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final EventLog log =
      new EventLog("test", System::nanoTime, OutputStream.nullOutputStream());
  private final Fleet fleet = new Fleet(RelayTest::decode, System::nanoTime, log);
  private final List<FakeUpstream> upstreams = new ArrayList<>();
  private final FixedFreshness freshness = new FixedFreshness();
  private Relay relay;
  private InetSocketAddress address;

  private static FleetBox decode(String id, byte[] entry) {
    return new FleetBox(
        id,
        "web",
        new String(entry, StandardCharsets.UTF_8),
        "z",
        6,
        false,
        null,
        null,
        List.of(),
        null);
  }

  private static final class FixedFreshness implements Freshness {
    private @Nullable TrafficConfig config;
    private boolean mayTrustKeys = true;

    private static TrafficConfig makeConfig() {
      List<ServiceShare> web = List.of(new ServiceShare("web", 1));
      return TrafficConfig.of(
          1,
          List.of(
              route("/once/", RequestKind.ONCE, web, 1),
              route("/again/", RequestKind.REPEATABLE, web, 2),
              route("/stream/", RequestKind.STREAM, web, 2)),
          List.of(new UpstreamService("web", 100, null)),
          List.of(new ClientAccount("office", Set.of("secret"), ClientAccount.NO_PRIORITY)),
          CallerLimits.DEFAULT);
    }

    private static Route route(
        String prefix, RequestKind kind, List<ServiceShare> shares, int attempts) {
      return new Route(
          prefix, "h.example", prefix, kind, 2_000, 200, 100, 1, shares, attempts, false, true);
    }

    @Override
    public @Nullable TrafficConfig config() {
      return config == null ? config = makeConfig() : config;
    }

    @Override
    public boolean mayTrustKeys() {
      return mayTrustKeys;
    }

    @Override
    public long configAgeMs() {
      return 0;
    }

    @Override
    public int processCount() {
      return 1;
    }
  }

  @BeforeEach
  void start() throws Exception {
    relay =
        new Relay(
            loop,
            System::nanoTime,
            new SplittableRandom(1),
            log,
            new EdgeMetrics(),
            NAMES,
            new HttpCalls(loop, System::nanoTime, 500),
            new UpstreamBoard(fleet, System::nanoTime, new SplittableRandom(2), log, "z"),
            freshness,
            new RelayRules(0.2, 100, 10));
    CallerServer server =
        new CallerServer(loop, System::nanoTime, () -> CallerLimits.DEFAULT, relay, reason -> {});
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
    for (FakeUpstream upstream : upstreams) {
      upstream.close();
    }
    group.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS).sync();
  }

  private FakeUpstream upstream(String id, FakeUpstream.Script script) throws Exception {
    FakeUpstream upstream = new FakeUpstream(script);
    upstreams.add(upstream);
    byte[] entry = upstream.address().getBytes(StandardCharsets.UTF_8);
    loop.submit(() -> fleet.onRecord(new StoreRecord(0, id, entry))).sync();
    return upstream;
  }

  private static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private static String whole(String head, String body) {
    return "HTTP/1.1 200 OK\r\nX-Attempt: "
        + FakeUpstream.header(head, "X-Attempt")
        + "\r\nX-Seal: s\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  private String call(String path) throws IOException {
    return call(path, "secret", "");
  }

  /** Sends one request and returns all that comes until the connection ends; "!" marks a reset. */
  private String call(String path, String key, String more) throws IOException {
    try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
      socket.setSoTimeout(READ_TIMEOUT_MS);
      write(
          socket.getOutputStream(),
          "GET "
              + path
              + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt: a1\r\nX-Deadline: 1500\r\n"
              + "X-Account: forged\r\nAuthorization: Bearer "
              + key
              + "\r\nConnection: close\r\n"
              + more
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

  @Test
  void aWholeAnswerIsPassedOnWithItsSealAndTheAccountIsSet() throws Exception {
    FakeUpstream upstream =
        upstream(
            "i-1",
            (head, out, socket) -> {
              write(out, whole(head, "hello"));
              return true;
            });
    String answer = call("/once/x?y=1");
    assertThat(answer, startsWith("HTTP/1.1 200"));
    assertThat(answer, containsString("X-Seal: s"));
    assertThat(answer, containsString("\r\n\r\nhello"));
    String head = upstream.heads().get(0);
    assertThat(head, startsWith("GET /once/x?y=1 HTTP/1.1"));
    assertThat(FakeUpstream.header(head, "X-Account"), is("office"));
    assertThat(FakeUpstream.header(head, "X-Expect"), is("i-1"));
    assertThat(FakeUpstream.header(head, "Authorization"), is(""));
    assertThat(Integer.parseInt(FakeUpstream.header(head, "X-Deadline")) <= 1_500, is(true));
  }

  @Test
  void anAnswerOfAnotherRequestIsPassedOver() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(
              out,
              "HTTP/1.1 200 OK\r\nX-Attempt: old\r\nX-Seal: o\r\nContent-Length: 3\r\n\r\nold");
          write(out, whole(head, "mine"));
          return true;
        });
    assertThat(call("/once/"), containsString("\r\n\r\nmine"));
  }

  @Test
  void aSuccessWithoutSealIsNoAnswer() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(out, "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nContent-Length: 2\r\n\r\nno");
          return true;
        });
    assertThat(call("/once/"), startsWith("HTTP/1.1 502"));
  }

  @Test
  void aCutAnswerIsNotPassedOn() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(
              out,
              "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nhalf");
          return false;
        });
    assertThat(call("/once/"), startsWith("HTTP/1.1 502"));
  }

  @Test
  void whatMayHaveRunIsNotSentAgain() throws Exception {
    FakeUpstream.Script reset =
        (head, out, socket) -> {
          socket.setSoLinger(true, 0);
          return false;
        };
    FakeUpstream one = upstream("i-1", reset);
    FakeUpstream two = upstream("i-2", reset);
    assertThat(call("/once/"), startsWith("HTTP/1.1 502"));
    assertThat(one.heads().size() + two.heads().size(), is(1));
  }

  @Test
  void whatMayBeRepeatedIsSentToAnotherUpstream() throws Exception {
    List<String> order = new ArrayList<>();
    FakeUpstream.Script firstFails =
        (head, out, socket) -> {
          synchronized (order) {
            order.add("call");
            if (order.size() == 1) {
              return false;
            }
          }
          write(out, whole(head, "second"));
          return true;
        };
    upstream("i-1", firstFails);
    upstream("i-2", firstFails);
    assertThat(call("/again/"), containsString("\r\n\r\nsecond"));
    assertThat(order.size(), is(2));
  }

  @Test
  void anUpstreamThatDidNotRunItLeadsToATrueRefusal() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(out, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
          return true;
        });
    String answer = call("/once/");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("retry-after: 0."));
  }

  @Test
  void aBrokenStreamIsTakenUpAtAnotherUpstreamAfterItsLastWholeEvent() throws Exception {
    List<String> lastIds = new ArrayList<>();
    FakeUpstream.Script script =
        (head, out, socket) -> {
          String lastId = FakeUpstream.header(head, "Last-Event-Id");
          synchronized (lastIds) {
            lastIds.add(lastId);
          }
          boolean isFirst = lastId.isEmpty();
          write(
              out,
              "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: "
                  + (isFirst ? "first" : "second")
                  + "\r\nTransfer-Encoding: chunked\r\n\r\n");
          String events = isFirst ? "id: 1\ndata: a\n\nid: 2\nda" : "id: 2\ndata: b\n\n";
          write(out, Integer.toHexString(events.length()) + "\r\n" + events + "\r\n");
          if (isFirst) {
            return false;
          }
          write(out, "0\r\n\r\n");
          return true;
        };
    upstream("i-1", script);
    upstream("i-2", script);
    String answer = call("/stream/");
    assertThat(answer, containsString("X-Seal: first"));
    assertThat(answer, not(containsString("second")));
    assertThat(answer, containsString("id: 1\ndata: a\n\n"));
    assertThat(answer, containsString("id: 2\ndata: b\n\n"));
    assertThat(answer, containsString("0\r\n\r\n"));
    assertThat(lastIds, is(List.of("", "1")));
  }

  @Test
  void aStreamThatCannotGoOnDoesNotLookWhole() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          write(
              out,
              "HTTP/1.1 200 OK\r\nX-Attempt: a1\r\nX-Seal: s\r\n"
                  + "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
          return false;
        });
    String answer = call("/stream/");
    assertThat(answer, containsString("id: 1"));
    assertThat(answer, not(containsString("0\r\n\r\n")));
  }

  @Test
  void unknownPathsAndKeysAreRefused() throws Exception {
    upstream("i-1", (head, out, socket) -> true);
    assertThat(call("/nowhere/"), startsWith("HTTP/1.1 404"));
    assertThat(call("/once/", "wrong", ""), startsWith("HTTP/1.1 401"));
  }

  @Test
  void oldKnowledgeOfKeysServesNobody() throws Exception {
    FakeUpstream upstream = upstream("i-1", (head, out, socket) -> true);
    freshness.mayTrustKeys = false;
    String answer = call("/once/");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(answer.toLowerCase(), containsString("retry-after"));
    assertThat(upstream.heads().isEmpty(), is(true));
  }

  @Test
  void anUnknownKeyIsNotDeniedOnOldKnowledge() throws Exception {
    freshness.mayTrustKeys = false;
    assertThat(call("/once/", "wrong", ""), startsWith("HTTP/1.1 503"));
  }

  @Test
  void aStoppingProcessRefusesWhatItCouldNotEnd() throws Exception {
    FakeUpstream upstream = upstream("i-1", (head, out, socket) -> true);
    loop.submit(relay::refuseNew).sync();
    assertThat(call("/once/"), startsWith("HTTP/1.1 503"));
    assertThat(upstream.heads().isEmpty(), is(true));
  }

  @Test
  void withoutAnyUpstreamTheRefusalSaysWhenToComeBack() throws Exception {
    String answer = call("/once/");
    assertThat(answer, startsWith("HTTP/1.1 503"));
    assertThat(
        answer.toLowerCase(), matchesPattern("(?s).*retry-after: (0\\.[7-9]|1\\.0)[0-9]*\r.*"));
  }

  @Test
  void aSilentUpstreamEndsInAnAnswerAtTheDeadline() throws Exception {
    upstream(
        "i-1",
        (head, out, socket) -> {
          Thread.sleep(READ_TIMEOUT_MS);
          return false;
        });
    assertThat(call("/once/"), startsWith("HTTP/1.1 504"));
  }

  @Test
  void badInputIsRefusedAndTheConnectionClosed() throws Exception {
    assertThat(
        call("/once/", "secret", "Content-Length: 1\r\nContent-Length: 2\r\n"),
        startsWith("HTTP/1.1 400"));
    assertThat(
        call("/once/", "secret", "X-Long: " + "x".repeat(20_000) + "\r\n"),
        startsWith("HTTP/1.1 431"));
    assertThat(
        call("/once/", "secret", "Content-Length: 99999999\r\n"), startsWith("HTTP/1.1 413"));
  }
}
