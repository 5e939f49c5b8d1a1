package org.shoreroad.edge.path;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EdgeMetrics;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.RepeatingTimer;
import org.shoreroad.edge.http.HttpCalls;
import org.shoreroad.fleet.FleetBox;

class UpstreamPathsTest {
  private static final int WAIT_MS = 5_000;
  private static final int RECHECKED_MS = 1_500;

  /** Two checks of three upstreams, and one try of the dead one in each 0.3 s. */
  private static final long MAX_CONNECTIONS = 2 * 3 + 6;

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final EventLog log = new EventLog("t", System::nanoTime, OutputStream.nullOutputStream());
  private final HttpCalls calls = new HttpCalls(loop, System::nanoTime, 400);
  private final List<ServerSocket> servers = new ArrayList<>();
  private final List<FleetBox> boxes = new ArrayList<>();
  private final List<String> lostServices = new ArrayList<>();
  private UpstreamPaths paths;

  @BeforeEach
  void start() throws Exception {
    for (int i = 0; i < 3; i++) {
      ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
      servers.add(server);
      boxes.add(box("web", "web-" + i, server));
      boxes.add(box("llm", "llm-" + i, server));
    }
    Collection<FleetBox> listed = List.copyOf(boxes);
    paths =
        new UpstreamPaths(
            calls,
            System::nanoTime,
            new SplittableRandom(1),
            log,
            new EdgeMetrics(),
            new RepeatingTimer(loop, log),
            () -> listed);
    paths.setLossListener(lostServices::add);
    loop.submit(paths::start).sync();
  }

  @AfterEach
  void stop() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    for (ServerSocket server : servers) {
      server.close();
    }
  }

  private static FleetBox box(String service, String id, ServerSocket server) {
    String address = "127.0.0.1:" + server.getLocalPort();
    return new FleetBox(id, service, address, "z", 6, false, null, null, List.of(), null);
  }

  private boolean confirm(String service) throws Exception {
    CompletableFuture<Boolean> result = new CompletableFuture<>();
    loop.execute(() -> paths.confirm(service, System.nanoTime(), result::complete));
    return result.get(WAIT_MS, TimeUnit.MILLISECONDS);
  }

  private boolean onLoop(Callable<Boolean> check) throws Exception {
    return loop.submit(check).get();
  }

  private void awaitLost(String service, boolean isLost) throws Exception {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_MS);
    while (onLoop(() -> paths.isServiceLost(service)) != isLost
        && System.nanoTime() - endNanos < 0) {
      Thread.sleep(20);
    }
    assertThat(onLoop(() -> paths.isServiceLost(service)), is(isLost));
  }

  private void closeServers(int count) throws Exception {
    for (ServerSocket server : servers.subList(0, count)) {
      server.close();
    }
  }

  @Test
  void pathIsSoundWhileOneUpstreamAcceptsConnections() throws Exception {
    closeServers(2);
    assertThat(confirm("web"), is(true));
    assertThat(onLoop(() -> paths.isServiceLost("web")), is(false));
  }

  @Test
  void onlyThePathToUpstreamThatFailsIsLost() throws Exception {
    closeServers(1);
    loop.submit(() -> paths.suspect(boxes.get(0))).sync();
    confirm("web");
    assertThat(onLoop(() -> paths.isLost(boxes.get(0))), is(true));
    assertThat(onLoop(() -> paths.isLost(boxes.get(2))), is(false));
  }

  @Test
  void pathIsLostIfNoUpstreamAcceptsConnections() throws Exception {
    closeServers(3);
    assertThat(confirm("web"), is(false));
    assertThat(onLoop(() -> paths.isLost(boxes.get(0))), is(true));
  }

  @Test
  void lossOfOneServiceHasTheOthersChecked() throws Exception {
    closeServers(3);
    confirm("web");
    awaitLost("llm", true);
    assertThat(lostServices, is(List.of("web", "llm")));
  }

  @Test
  void pathIsRestoredOnceUpstreamsAcceptConnectionsAgain() throws Exception {
    closeServers(3);
    confirm("web");
    for (int i = 0; i < 3; i++) {
      int port = servers.get(i).getLocalPort();
      servers.set(i, new ServerSocket(port, 50, InetAddress.getLoopbackAddress()));
    }
    awaitLost("web", false);
    assertThat(onLoop(() -> paths.isLost(boxes.get(0))), is(false));
  }

  @Test
  void deadUpstreamIsTriedAgainWithoutChecksOfTheOthers() throws Exception {
    closeServers(1);
    loop.submit(() -> paths.suspect(boxes.get(0))).sync();
    confirm("web");
    Thread.sleep(RECHECKED_MS);
    long opened = loop.submit(calls::connectionsOpened).get();
    assertThat(opened, lessThanOrEqualTo(MAX_CONNECTIONS));
  }
}
