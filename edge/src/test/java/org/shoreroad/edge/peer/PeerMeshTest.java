package org.shoreroad.edge.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.sync.ListUpdate;
import org.shoreroad.edge.sync.StorePosition;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.Incarnation;
import org.shoreroad.limit.FleetLimits;
import org.shoreroad.limit.RequestLimit;
import org.shoreroad.member.HubPlan.ProcessLocation;

/** Tests of several meshes on one event loop, over real connections on loopback. */
class PeerMeshTest {
  private static final int ZONES = 2;
  private static final String BUSY = "i-busy";

  /** Timeout of conditions that must become true, ample for a loaded machine. */
  private static final long TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

  private final NioEventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final EventLog log = new EventLog("t", System::nanoTime, OutputStream.nullOutputStream());
  private final List<Process> processes = new ArrayList<>();

  /** A process with its mesh, the state that it sends, and the state that it has received. */
  private final class Process implements PeerMesh.HeartbeatSource {
    private final ProcessLocation location;
    private final PeerMesh mesh;
    private final Set<String> reportsReceived = new HashSet<>();
    private final Set<Long> listOffsetsReceived = new HashSet<>();
    private final Set<String> suspected = new HashSet<>();
    private final FleetLimits limits;
    private int notices;
    private List<FleetBox> reports = List.of();
    private String address = "";

    Process(int number) {
      location = new ProcessLocation("box-" + number + "~" + number, "zone-" + number % ZONES);
      limits = new FleetLimits(location.name());
      mesh = new PeerMesh(loop, System::nanoTime, log, location, this, this::onHeartbeat);
      mesh.setSuspicionListener(this::onNotice);
    }

    private boolean onNotice(Set<String> heads) {
      notices++;
      return suspected.addAll(heads);
    }

    private void onHeartbeat(Heartbeat heartbeat) {
      heartbeat.reports().forEach(report -> reportsReceived.add(report.id()));
      listOffsetsReceived.add(heartbeat.listUpdate().end().offset());
      heartbeat.limitReports().forEach(report -> limits.applyReport(report, System.nanoTime()));
    }

    @Override
    public Heartbeat make(String sender, long sentNanos) {
      Heartbeat bare = Heartbeats.of(sender).withLoads(List.of(new Heartbeat.Load(BUSY, 1, 10, 5)));
      return new Heartbeat(
          sender,
          sentNanos,
          0,
          Heartbeat.Scope.SELF,
          1,
          StorePosition.of(1, 0),
          Heartbeat.NO_CONFIG,
          0,
          bare.loads(),
          Set.of(),
          bare.askedUpstreams(),
          Set.of(),
          Set.of("llm/" + sender),
          reports,
          ListUpdate.readTo(StorePosition.of(1, 3)),
          List.of(),
          limits.reports(System.nanoTime()),
          HeartbeatAdditions.NONE);
    }

    @Override
    public ListUpdate listSince(StorePosition position) {
      StorePosition end = position.withOffset(position.offset() + 4);
      return new ListUpdate(position, end, 0, 0, List.of());
    }

    @Override
    public void onSent() {
      reports = List.of();
    }

    int openElsewhere() {
      return mesh.latestHeartbeats().keySet().stream()
          .flatMap(heartbeat -> heartbeat.loads().stream())
          .mapToInt(Heartbeat.Load::open)
          .sum();
    }
  }

  private void start(int count) throws Exception {
    for (int i = 0; i < count; i++) {
      Process process = new Process(i);
      InetSocketAddress any = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
      InetSocketAddress bound =
          (InetSocketAddress) onLoop(() -> process.mesh.start(any)).sync().channel().localAddress();
      process.address = "127.0.0.1:" + bound.getPort();
      processes.add(process);
    }
    onLoop(
        () -> {
          for (Process one : processes) {
            processes.forEach(
                other -> one.mesh.add(other.location, other.address, StorePosition.of(1, 1)));
          }
          return true;
        });
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).sync().getNow();
  }

  private boolean becomesTrue(BooleanSupplier condition) throws Exception {
    long endNanos = System.nanoTime() + TIMEOUT_NANOS;
    while (System.nanoTime() < endNanos) {
      if (onLoop(condition::getAsBoolean)) {
        return true;
      }
      Thread.sleep(20);
    }
    return false;
  }

  @AfterEach
  void stop() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
  }

  @Test
  void fewProcessesExchangeHeartbeatsDirectly() throws Exception {
    start(4);
    assertThat(
        becomesTrue(() -> processes.stream().allMatch(p -> p.openElsewhere() == 3)), is(true));
    assertThat(processes.get(0).mesh.isMember(), is(false));
    assertThat(processes.get(0).mesh.aliveCount(), is(4));
  }

  @Test
  void withHubsEachLoadIsCountedOnce() throws Exception {
    start(30);
    assertThat(
        becomesTrue(
            () ->
                processes.stream()
                    .allMatch(p -> p.openElsewhere() == 29 && p.mesh.aliveCount() == 30)),
        is(true));
    long members = processes.stream().filter(p -> p.mesh.isMember()).count();
    assertThat(members, is(24L));
  }

  @Test
  void withHubsAReportOfAnEngineReachesAllProcesses() throws Exception {
    start(30);
    becomesTrue(() -> processes.stream().allMatch(p -> p.mesh.aliveCount() == 30));
    Process sender = processes.stream().filter(p -> p.mesh.isMember()).findFirst().orElseThrow();
    onLoop(
        () -> {
          sender.reports =
              List.of(new FleetBox("i-1", "s", "h:1", "z", 1, false, "d", null, List.of(), null));
          sender.mesh.sendSoon();
          return true;
        });
    assertThat(
        becomesTrue(
            () ->
                processes.stream().allMatch(p -> p == sender || p.reportsReceived.contains("i-1"))),
        is(true));
  }

  @Test
  void withHubsALimitReachesAllProcesses() throws Exception {
    start(30);
    becomesTrue(() -> processes.stream().allMatch(p -> p.mesh.aliveCount() == 30));
    Process sender = processes.stream().filter(p -> p.mesh.isMember()).findFirst().orElseThrow();
    Incarnation upstream = new Incarnation("i-1", 7);
    onLoop(() -> sender.limits.recordAnswer(upstream, new RequestLimit(1), 0, System.nanoTime()));
    assertThat(
        becomesTrue(() -> processes.stream().allMatch(p -> p.limits.isLimited(upstream))),
        is(true));
  }

  @Test
  void withoutHubsAllProcessesShareLimits() throws Exception {
    start(4);
    Set<String> names = Set.copyOf(processes.stream().map(p -> p.location.name()).toList());
    assertThat(
        becomesTrue(() -> processes.stream().allMatch(p -> p.mesh.sharers().equals(names))),
        is(true));
  }

  /** Members have no view of the alive processes, so several could take the same share. */
  @Test
  void withHubsOnlyHubsShareLimits() throws Exception {
    start(30);
    assertThat(
        becomesTrue(
            () -> {
              Set<String> hubs = new HashSet<>();
              processes.stream()
                  .filter(p -> !p.mesh.isMember())
                  .forEach(p -> hubs.add(p.location.name()));
              return hubs.size() == 6
                  && processes.stream()
                      .allMatch(p -> p.mesh.sharers().equals(p.mesh.isMember() ? Set.of() : hubs));
            }),
        is(true));
  }

  @Test
  void withHubsANoticeReachesEachProcessOnce() throws Exception {
    start(30);
    becomesTrue(() -> processes.stream().allMatch(p -> p.mesh.aliveCount() == 30));
    Process sender = processes.stream().filter(p -> p.mesh.isMember()).findFirst().orElseThrow();
    onLoop(
        () -> {
          sender.suspected.add("i-1");
          sender.mesh.sendSuspicion(Set.of("i-1"));
          return true;
        });
    assertThat(
        becomesTrue(() -> processes.stream().allMatch(p -> p.suspected.contains("i-1"))), is(true));
    // The sender's hub and the other hubs forward the notice once each.
    int notices = onLoop(() -> processes.stream().mapToInt(p -> p.notices).sum());
    assertThat(notices, is(29));
  }

  @Test
  void withoutHubsNoticesAreSentDirectly() throws Exception {
    start(4);
    becomesTrue(() -> processes.stream().allMatch(p -> p.openElsewhere() == 3));
    onLoop(
        () -> {
          processes.get(0).suspected.add("i-1");
          processes.get(0).mesh.sendSuspicion(Set.of("i-1"));
          return true;
        });
    assertThat(
        becomesTrue(() -> processes.stream().allMatch(p -> p.suspected.contains("i-1"))), is(true));
  }

  @Test
  void memberReceivesListChangesFromItsPosition() throws Exception {
    start(30);
    assertThat(
        becomesTrue(
            () ->
                processes.stream()
                    .allMatch(p -> !p.mesh.isMember() || p.listOffsetsReceived.contains(7L))),
        is(true));
  }

  @Test
  void withoutHubsThreeProcessesReadTheList() throws Exception {
    start(7);
    assertThatThreeReadTheList();
  }

  @Test
  void withHubsThreeHubsReadTheList() throws Exception {
    start(30);
    assertThatThreeReadTheList();
  }

  private void assertThatThreeReadTheList() throws Exception {
    assertThat(
        becomesTrue(() -> processes.stream().filter(p -> p.mesh.isReader()).count() == 3),
        is(true));
    assertThat(
        becomesTrue(
            () ->
                processes.stream()
                    .allMatch(p -> p.mesh.isReader() || p.listOffsetsReceived.contains(7L))),
        is(true));
  }

  @Test
  void withHubsOwnedDomainsReachAllProcesses() throws Exception {
    start(30);
    assertThat(
        becomesTrue(
            () ->
                processes.stream()
                    .allMatch(
                        p -> p.mesh.ownedDomains() != null && p.mesh.ownedDomains().size() == 29)),
        is(true));
  }

  @Test
  void ownedDomainsAreUnknownWithoutHeartbeats() throws Exception {
    start(1);
    Process alone = processes.get(0);
    assertThat(alone.mesh.ownedDomains(), is(Set.of()));
    onLoop(
        () -> {
          alone.mesh.add(
              new ProcessLocation("box-9~9", "zone-1"), "127.0.0.1:1", StorePosition.of(1, 1));
          return true;
        });
    assertThat(alone.mesh.ownedDomains() == null, is(true));
  }

  @Test
  void onlyMembersWithAnAnsweringHubCanSkipTheProcessList() throws Exception {
    start(30);
    becomesTrue(() -> processes.stream().allMatch(p -> p.mesh.aliveCount() == 30));
    assertThat(
        becomesTrue(
            () ->
                processes.stream().allMatch(p -> p.mesh.canSkipProcessList() == p.mesh.isMember())),
        is(true));
    Process member = processes.stream().filter(p -> p.mesh.isMember()).findFirst().orElseThrow();
    onLoop(
        () -> {
          processes.stream()
              .filter(p -> !p.mesh.isMember())
              .forEach(hub -> hub.mesh.remove(member.location.name()));
          return true;
        });
    assertThat(becomesTrue(() -> !member.mesh.canSkipProcessList()), is(true));
  }

  @Test
  void heartbeatOfAnUnknownProcessRequiresTheProcessList() throws Exception {
    start(30);
    becomesTrue(() -> processes.stream().allMatch(p -> p.mesh.aliveCount() == 30));
    Process member = processes.stream().filter(p -> p.mesh.isMember()).findFirst().orElseThrow();
    assertThat(onLoop(member.mesh::canSkipProcessList), is(true));
    Process unknown = new Process(31);
    onLoop(
        () -> {
          unknown.mesh.add(member.location, member.address, StorePosition.of(1, 1));
          return unknown.mesh.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        });
    assertThat(becomesTrue(() -> !member.mesh.canSkipProcessList()), is(true));
  }

  @Test
  void lostHubIsReplaced() throws Exception {
    start(30);
    becomesTrue(() -> processes.stream().allMatch(p -> p.mesh.aliveCount() == 30));
    Process hub = processes.stream().filter(p -> !p.mesh.isMember()).findFirst().orElseThrow();
    onLoop(
        () -> {
          processes.forEach(p -> p.mesh.remove(hub.location.name()));
          processes.forEach(p -> hub.mesh.remove(p.location.name()));
          return true;
        });
    assertThat(
        becomesTrue(() -> processes.stream().allMatch(p -> p == hub || (p.openElsewhere() == 28))),
        is(true));
  }

  @Test
  void laterIncarnationReplacesTheFormerOne() throws Exception {
    start(2);
    Process one = processes.get(0);
    onLoop(
        () -> {
          one.mesh.add(
              new ProcessLocation("box-1~later", "zone-1"),
              processes.get(1).address,
              StorePosition.of(1, 9));
          one.mesh.add(
              new ProcessLocation("box-1~earlier", "zone-1"),
              processes.get(1).address,
              StorePosition.of(1, 4));
          return true;
        });
    // The heartbeats of the former incarnation no longer count.
    assertThat(becomesTrue(() -> one.mesh.aliveCount() == 1), is(true));
  }
}
