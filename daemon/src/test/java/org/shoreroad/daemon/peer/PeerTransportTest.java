package org.shoreroad.daemon.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.ErrorCode;
import org.shoreroad.Verdict;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.request.Submission;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.intent.IntentRecord;
import org.shoreroad.member.MembershipMessage;
import org.shoreroad.member.PeerStatus;
import org.shoreroad.member.Rumor;
import org.shoreroad.state.Node;

/**
 * Checks order and encoding of messages, authentication, and the report of lost links and unsent
 * messages.
 */
class PeerTransportTest {
  private final Metrics metrics = new Metrics();
  private final BlockingQueue<PeerMessage> received = new LinkedBlockingQueue<>();
  private final BlockingQueue<String> lost = new LinkedBlockingQueue<>();
  private final PeerTransport a = start("a", "secret");
  private final PeerTransport b = start("b", "secret");

  private PeerTransport start(String id, String token) {
    Settings settings =
        Settings.parse(
            new String[] {
              "--node-id",
              id,
              "--zone",
              "z",
              "--caller-listen",
              "127.0.0.1:0",
              "--ops-listen",
              "127.0.0.1:0",
              "--peer-listen",
              "127.0.0.1:0",
              "--log-url",
              "http://l",
              "--boxes-url",
              "http://b",
              "--peer-token",
              token,
              "--operator-token",
              "o"
            },
            Map.of());
    PeerTransport transport = new PeerTransport(settings, metrics);
    if (id.equals("b")) {
      transport.addListener(
          new PeerListener() {
            @Override
            public void onMessage(Node from, PeerMessage message) {
              received.add(message);
            }

            @Override
            public void onLinkLost(String nodeId) {
              lost.add(nodeId);
            }
          });
    }
    transport.start(new Kernel(List.of()));
    return transport;
  }

  @AfterEach
  void stop() {
    a.stop();
    b.stop();
  }

  @Test
  void testSend_messagesArriveInOrder() throws Exception {
    for (int i = 0; i < 1_000; i++) {
      a.send(b.self(), new PeerMessage.CatchUpRequest(i), () -> lost.add("not sent"));
    }
    for (int i = 0; i < 1_000; i++) {
      assertThat(received.poll(10, TimeUnit.SECONDS), is(new PeerMessage.CatchUpRequest(i)));
    }
  }

  @Test
  void testSend_unreachablePeerIsReportedNotSent() throws Exception {
    CountDownLatch notSent = new CountDownLatch(1);
    a.send(
        new Node("c", "127.0.0.1:1", "z"), new PeerMessage.CatchUpRequest(1), notSent::countDown);
    assertThat(notSent.await(10, TimeUnit.SECONDS), is(true));
  }

  @Test
  void testDrop_lossIsReportedToPeer() throws Exception {
    a.send(b.self(), new PeerMessage.CatchUpRequest(1), () -> {});
    received.poll(10, TimeUnit.SECONDS);
    a.drop("b");
    assertThat(lost.poll(10, TimeUnit.SECONDS), is("a"));
  }

  @Test
  void testReceive_unauthenticatedPeerIsRefusedAndCounted() throws Exception {
    InetSocketAddress address = Settings.parseAddress("b", b.self().peerAddress());
    byte[][] invalidGreetings = {
      "GET / HTTP/1.1\r\n\r\n".getBytes(), {0, 0, 0, 2, 1, 1}, {0, 0, 0, 1, 0x55}
    };
    for (byte[] bytes : invalidGreetings) {
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        OutputStream out = socket.getOutputStream();
        out.write(bytes);
        out.flush();
        socket.setSoTimeout(10_000);
        assertThat(socket.getInputStream().read(), is(-1));
      }
    }
    PeerTransport wrong = start("w", "wrong");
    wrong.send(b.self(), new PeerMessage.CatchUpRequest(7), () -> {});
    assertThat(received.poll(300, TimeUnit.MILLISECONDS) == null, is(true));
    wrong.stop();
    assertThat(
        metrics.toPrometheusText(),
        containsString("shoreroad_peer_links_refused_total{reason=\"stranger\"}"));
  }

  @Test
  void testCodec_roundTripsMessages() {
    MembershipMessage membershipMessage =
        new MembershipMessage(
            MembershipMessage.Type.ACK, 7, "s", 9, List.of(new Rumor("n", PeerStatus.SUSPECT, 3)));
    IntentRecord intent = new IntentRecord(IntentRecord.Type.STARTING, "i", "k");
    List<PeerMessage> messages =
        List.of(
            new PeerMessage.Hello(new Node("n", "h:1", "z"), "t"),
            new PeerMessage.Membership(membershipMessage),
            new PeerMessage.Cancel("r"),
            new PeerMessage.Ended("r"),
            new PeerMessage.Failed("r", ErrorCode.QUEUE_FULL, Verdict.NOT_RUN, "m", 5),
            new PeerMessage.CatchUpRequest(3),
            new PeerMessage.ClaimRequest(1, 2, intent),
            new PeerMessage.ClaimResponse(1, ClaimResult.LOST_FINISHED));
    for (PeerMessage message : messages) {
      assertThat(PeerCodec.fromBytes(PeerCodec.toBytes(message)), is(message));
    }
    Submission submission =
        new Submission("r-1", 5, "a", 2, 3, 4, 5, 6, true, 7, new byte[] {1, 2});
    PeerMessage.Submit back =
        (PeerMessage.Submit)
            PeerCodec.fromBytes(PeerCodec.toBytes(new PeerMessage.Submit(submission)));
    assertThat(back.submission().withResumeAfter(7).requestId(), is("r-1"));
    assertThat(back.submission().body(), is(new byte[] {1, 2}));
    assertThat(back.submission().cost(), is(submission.cost()));
  }
}
