package org.shoreroad.edge.path;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.forward.ForwardClient;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.edge.relay.EndCheck;
import org.shoreroad.fleet.FleetBox;

class UpstreamEndCheckTest {
  private static final int WAIT_MS = 5_000;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final EventLog log = new EventLog("t", System::nanoTime, OutputStream.nullOutputStream());
  private final HttpCalls calls = new HttpCalls(loop, System::nanoTime, 400);
  private final List<ServerSocket> servers = new ArrayList<>();
  private final List<FleetBox> boxes = new ArrayList<>();
  private boolean isReplaced;
  private boolean isLeaving;
  private UpstreamEndCheck check;

  @BeforeEach
  void start() throws IOException {
    for (int i = 0; i < 2; i++) {
      ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      servers.add(server);
      String address = "127.0.0.1:" + server.getLocalPort();
      boxes.add(new FleetBox("i-" + i, "web", address, "z", 6, false, null, null, List.of(), null));
    }
    EdgeMetrics metrics = new EdgeMetrics();
    SplittableRandom random = new SplittableRandom(1);
    RepeatingTimer timer = new RepeatingTimer(loop, log);
    UpstreamPaths paths =
        new UpstreamPaths(calls, System::nanoTime, random, log, metrics, timer, () -> boxes);
    ForwardClient noPeers =
        new ForwardClient(loop, System::nanoTime, random, log, metrics, () -> Map.of());
    check =
        new UpstreamEndCheck(
            calls, paths, noPeers, System::nanoTime, box -> isReplaced, box -> isLeaving);
  }

  @AfterEach
  void stop() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    for (ServerSocket server : servers) {
      server.close();
    }
  }

  private EndCheck.Outcome outcome() throws Exception {
    CompletableFuture<EndCheck.Outcome> outcome = new CompletableFuture<>();
    loop.execute(() -> check.check(boxes.get(0), outcome::complete));
    return outcome.get(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  @Test
  void upstreamThatAcceptsConnectionsIsRunning() throws Exception {
    assertThat(outcome(), is(EndCheck.Outcome.RUNNING));
  }

  @Test
  void upstreamThatRefusesConnectionsHasEndedIfAnotherOneIsReached() throws Exception {
    servers.get(0).close();
    assertThat(outcome(), is(EndCheck.Outcome.ENDED));
  }

  /** Else all requests of a process that is cut off count as crashes. */
  @Test
  void refusedConnectionsShowNoEndWhileNoPathIsKnown() throws Exception {
    servers.get(0).close();
    servers.get(1).close();
    assertThat(outcome(), is(EndCheck.Outcome.UNKNOWN));
    isReplaced = true;
    assertThat(outcome(), is(EndCheck.Outcome.ENDED));
  }

  @Test
  void upstreamWhoseAddressAnotherOneHasIsNotMistakenForIt() throws Exception {
    isReplaced = true;
    assertThat(outcome(), is(EndCheck.Outcome.ENDED));
  }

  @Test
  void plannedEndIsNoneThatCounts() throws Exception {
    servers.get(0).close();
    isLeaving = true;
    assertThat(outcome(), is(EndCheck.Outcome.RUNNING));
  }
}
