package org.shoreroad.edge.replica;

import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.shoreroad.edge.EventLog;
import org.shoreroad.edge.peer.FailureDetector;
import org.shoreroad.edge.peer.Heartbeats;
import org.shoreroad.edge.sync.DomainLeases;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.LeaseStore;
import org.shoreroad.edge.sync.PartitionGrant;
import org.shoreroad.edge.sync.StoreCallback;
import org.shoreroad.edge.sync.StoreEra;
import org.shoreroad.fleet.Demand;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.traffic.CallerLimits;
import org.shoreroad.traffic.TrafficConfig;
import org.shoreroad.traffic.UpstreamService;

/** One seeded run of the owner of a {@link SimulatedDomain}, beside one peer. */
final class ReorderedEventsRun {
  private static final int BOXES = 8;
  private static final int TASKS_AT_ONCE = 4;
  private static final long FENCE = 1;
  private static final String PEER = "peer";
  private static final TrafficConfig CONFIG =
      TrafficConfig.of(
          1,
          List.of(),
          List.of(new UpstreamService("llm", 9, SimulatedDomain.spec())),
          null,
          CallerLimits.DEFAULT);

  private final Random random;
  private final SimulatedDomain domain;
  private final EmbeddedChannel channel = new EmbeddedChannel();
  private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
  private final EventLog log;
  private final Fleet fleet;
  private final FailureDetector failureDetector;
  private final ReplicaService service;
  private final Map<String, Double> pressures = new HashMap<>();
  private long pausedUntilNanos;
  private long unadvancedNanos;

  ReorderedEventsRun(long seed) {
    random = new Random(seed);
    domain = new SimulatedDomain(random);
    log = new EventLog("owner", domain::nowNanos, new TimedLines());
    fleet = new Fleet(domain::decode, domain::nowNanos, log);
    failureDetector = new FailureDetector(domain::nowNanos);
    DomainLeases leases =
        new DomainLeases(
            new GrantingStore(),
            channel.eventLoop(),
            domain::nowNanos,
            log,
            "owner",
            new NoPeers(),
            fleet::domains);
    service =
        new ReplicaService(
            channel.eventLoop(),
            domain::nowNanos,
            log,
            fleet,
            leases,
            domain,
            () -> CONFIG,
            Set::of,
            llm -> demand(),
            failureDetector,
            () -> Set.of(PEER),
            5_000);
    fleet.addRemovalListener(box -> service.forget(box.id()));
    for (int i = 0; i < BOXES; i++) {
      domain.addBox();
    }
    leases.start();
    service.start();
  }

  List<String> violations() {
    return domain.violations();
  }

  long countOpen(String model) {
    return domain.countOpen(model);
  }

  /** Returns the log lines of the owner, with simulated times; read them when a seed fails. */
  String history() {
    return lines.toString(StandardCharsets.UTF_8);
  }

  /** Output that puts the simulated time before what is written. */
  private final class TimedLines extends OutputStream {
    @Override
    public void write(int singleByte) {
      lines.write(singleByte);
    }

    @Override
    public void write(byte[] bytes) {
      String time = TimeUnit.NANOSECONDS.toMillis(domain.nowNanos()) + " ms:\n";
      lines.writeBytes(time.getBytes(StandardCharsets.UTF_8));
      lines.writeBytes(bytes);
    }
  }

  private Demand demand() {
    Map<String, Double> current = new HashMap<>(pressures);
    Map<String, Integer> open = new HashMap<>();
    for (String model : List.of("large", "small")) {
      int count = (int) domain.countOpen(model);
      open.put(model, count);
      if (count == 0) {
        current.put(model, Demand.NO_REPLICA_PRESSURE);
      }
    }
    return new Demand(current, open, domain.nowNanos() > TimeUnit.HOURS.toNanos(1) + 15e9);
  }

  /** Plays with faults, once the first replicas had time to form. */
  void playFaults(int seconds) {
    play(20);
    for (int second = 0; second < seconds && violations().isEmpty(); second++) {
      domain.setLateOrderFraction(random.nextInt(3) == 0 ? 0.5 : 0);
      domain.setSlowAnswerFraction(random.nextInt(2) == 0 ? 0.3 : 0);
      if (random.nextInt(4) == 0) {
        domain.setListLagNanos(
            random.nextBoolean() ? 0 : SimulatedDomain.millis(random.nextInt(4_000)));
      }
      if (random.nextInt(2) == 0) {
        injectFault();
      }
      play(1);
    }
  }

  /** Plays without faults. */
  void playCalm(int seconds) {
    domain.setLateOrderFraction(0);
    domain.setSlowAnswerFraction(0);
    domain.setListLagNanos(0);
    play(seconds);
  }

  private void injectFault() {
    List<SimulatedEngine> running = domain.running();
    SimulatedEngine engine = running.get(random.nextInt(running.size()));
    long forNanos = SimulatedDomain.millis(300 + random.nextInt(5_000));
    switch (random.nextInt(8)) {
      case 0 -> domain.cutPath(engine, forNanos);
      case 1 -> domain.cutFromList(engine, forNanos);
      case 2 -> {
        domain.crash(engine);
        domain.addBox();
      }
      case 3 -> {
        if (!engine.isLeaving()) {
          domain.drain(engine, forNanos);
          domain.addBox();
        }
      }
      case 4 -> domain.listStale(fleet);
      case 5 ->
          pausedUntilNanos = domain.nowNanos() + SimulatedDomain.millis(random.nextInt(1_300));
      default -> {
        pressures.put("large", random.nextDouble() * 1.2);
        pressures.put("small", random.nextDouble() * 1.2);
      }
    }
  }

  private void play(int seconds) {
    long endNanos = domain.nowNanos() + TimeUnit.SECONDS.toNanos(seconds);
    for (int step = 0; domain.nowNanos() < endNanos; step++) {
      domain.step();
      unadvancedNanos += SimulatedDomain.STEP_NANOS;
      if (domain.nowNanos() >= pausedUntilNanos) {
        runOwner();
      }
      log.flush();
      if (step % 20 == 0) {
        fleet.reconcile(TimeUnit.MINUTES.toNanos(1));
      }
      if (step % 50 == 0) {
        answerAsPeer();
      }
    }
  }

  private void runOwner() {
    domain.deliverTo(fleet);
    channel.advanceTimeBy(unadvancedNanos, TimeUnit.NANOSECONDS);
    unadvancedNanos = 0;
    // A task that a task schedules without delay runs only at the next call.
    for (int i = 0; i < TASKS_AT_ONCE; i++) {
      channel.runScheduledPendingTasks();
    }
  }

  /** Lets the peer try the boxes that the owner asks about; its heartbeats may be late. */
  private void answerAsPeer() {
    Set<String> silent = new HashSet<>();
    for (String id : failureDetector.questions().keySet()) {
      FleetBox report = domain.reportToPeer(id);
      if (report == null) {
        silent.add(id);
      } else {
        long delayNanos = SimulatedDomain.millis(random.nextInt(2_000));
        domain.sendToOwner(delayNanos, () -> fleet.updateByPeer(report));
      }
    }
    domain.sendToOwner(
        SimulatedDomain.millis(random.nextInt(100)),
        () -> failureDetector.applyHeartbeat(Heartbeats.of(PEER).withQuestions(Map.of(), silent)));
  }

  /** Store that grants the only partition to every caller. */
  private static final class GrantingStore implements LeaseStore {
    @Override
    public void join(
        String group, String member, int ttlMs, long gen, StoreCallback<PartitionGrant> callback) {
      callback.onValue(new PartitionGrant(StoreEra.NONE, FENCE, Set.of(0)));
    }

    @Override
    public void leave(String group, String member, long generation) {
      // There is no other member.
    }

    @Override
    public void owner(String group, StoreCallback<String> callback) {
      callback.onValue("");
    }
  }

  /** Peers that own no domains. */
  private static final class NoPeers implements DomainLeases.Peers {
    @Override
    public Set<String> ownedDomains() {
      return Set.of();
    }

    @Override
    public Set<String> names() {
      return Set.of();
    }

    @Override
    public int aliveCount() {
      return 1;
    }
  }
}
