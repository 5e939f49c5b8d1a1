package org.shoreroad.daemon.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.jboss.logging.Logger;
import org.shoreroad.ErrorCode;
import org.shoreroad.ShoreroadException;
import org.shoreroad.config.ModelSpec;
import org.shoreroad.daemon.control.ControlAppender;
import org.shoreroad.daemon.control.ControlLog;
import org.shoreroad.daemon.kernel.EventLoop;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.member.ContactPolicy;
import org.shoreroad.daemon.member.MembershipService;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.peer.PeerListener;
import org.shoreroad.daemon.peer.PeerMessage;
import org.shoreroad.daemon.peer.PeerTransport;
import org.shoreroad.daemon.request.AnswerSink;
import org.shoreroad.daemon.request.Submission;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.replica.BoxReport;
import org.shoreroad.replica.ReplicaAction;
import org.shoreroad.replica.ReplicaController;
import org.shoreroad.routing.OwnerMap;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.Generation;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.Node;

/**
 * Service that runs the replica of every generation that this process owns, on one thread.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class OwnerService implements Service, PeerListener {
  /** The name of this service. */
  public static final String NAME = "owner";

  private static final Logger LOG = Logger.getLogger(OwnerService.class);
  private static final long CONFIRMING_TICK_MS = 1;
  private static final long BUSY_TICK_MS = 5;
  private static final long IDLE_TICK_MS = 40;

  private final Settings settings;
  private final ControlLog control;
  private final ControlAppender appender;
  private final MembershipService members;
  private final ContactPolicy contact;
  private final EngineClient engines;
  private final PeerTransport transport;
  private final Metrics metrics;
  private final EventLoop ownerThread = new EventLoop(NAME, this::tick);
  private final Map<Long, OwnedReplica> replicas = new HashMap<>();
  private final String orderPrefix = UUID.randomUUID().toString().substring(0, 8) + "-";
  private final AtomicLong nextOrder = new AtomicLong();
  private volatile OwnerMap owners = OwnerMap.EMPTY;
  private volatile OwnerSnapshot snapshot = OwnerSnapshot.EMPTY;
  private boolean isAssignmentStale = true;
  private List<Node> derivedFromNodes = List.of();
  private Set<Long> derivedFromGenerations = Set.of();
  private volatile boolean isStopping;
  private long lastTickNanos;
  private double downtimeSeconds;
  private double strandedBoxSeconds;

  /** Creates the service; {@link #start} starts its thread. */
  @Inject
  public OwnerService(
      Settings settings,
      ControlLog control,
      ControlAppender appender,
      MembershipService members,
      ContactPolicy contact,
      EngineClient engines,
      PeerTransport transport,
      Metrics metrics) {
    this.settings = settings;
    this.control = control;
    this.appender = appender;
    this.members = members;
    this.contact = contact;
    this.engines = engines;
    this.transport = transport;
    this.metrics = metrics;
    this.lastTickNanos = System.nanoTime();
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    control.addListener(state -> ownerThread.tryPost(() -> isAssignmentStale = true));
    members.addListener(view -> ownerThread.tryPost(() -> isAssignmentStale = true));
    metrics.gauge("shoreroad.owner.replicas", () -> snapshot.replicas().size());
    metrics.gauge("shoreroad.owner.replicas.serving", () -> snapshot.serving());
    metrics.gauge("shoreroad.owner.requests.running", () -> snapshot.running());
    metrics.gauge("shoreroad.owner.requests.queued", () -> snapshot.queued());
    metrics.gauge("shoreroad.group.downtime.seconds", () -> downtimeSeconds);
    metrics.gauge("shoreroad.stranded.box.seconds", () -> strandedBoxSeconds);
    ownerThread.start();
  }

  @Override
  public void stop() {
    ownerThread.stop();
  }

  /** Returns the owner of each generation, derived from this process's view of the members. */
  public OwnerMap owners() {
    return owners;
  }

  /** Returns a snapshot of the generations that this process owns. */
  public OwnerSnapshot snapshot() {
    return snapshot;
  }

  /** Refuses new and queued requests from now on; running requests are finished. */
  public void closeIntake() {
    isStopping = true;
    ownerThread.tryPost(() -> replicas.values().forEach(OwnedReplica::closeIntake));
  }

  /**
   * Submits a request from a gateway.
   *
   * @param gatewayId the id of the gateway's process
   * @param submission the request
   * @param sink receives the answer
   */
  public void submit(String gatewayId, Submission submission, AnswerSink sink) {
    boolean isPosted =
        ownerThread.tryPost(
            () -> {
              long now = System.nanoTime();
              OwnedReplica replica = replicas.get(submission.generation());
              if (replica == null || isStopping) {
                sink.onFailure(
                    ShoreroadException.notRun(
                        isStopping ? ErrorCode.STOPPING : ErrorCode.NOT_OWNER,
                        "this process does not own the replica",
                        1));
                return;
              }
              replica.submit(new PendingRequest(submission, sink, gatewayId, now), now);
            });
    if (!isPosted) {
      metrics.count("shoreroad.owner.ring.full");
      sink.onFailure(
          ShoreroadException.notRun(ErrorCode.QUEUE_FULL, "the owner is overloaded", 1_000));
    }
  }

  /** Cancels a request whose answer is no longer needed. */
  public void cancel(String requestId) {
    ownerThread.tryPost(() -> replicas.values().forEach(replica -> replica.cancel(requestId)));
  }

  @Override
  public void onMessage(Node from, PeerMessage message) {
    if (message instanceof PeerMessage.Submit submit) {
      Submission submission = submit.submission();
      submit(from.id(), submission, new PeerAnswerSink(transport, from, submission.requestId()));
    } else if (message instanceof PeerMessage.Cancel cancel) {
      cancel(cancel.requestId());
    }
  }

  @Override
  public void onLinkLost(String nodeId) {
    ownerThread.tryPost(() -> replicas.values().forEach(replica -> replica.dropGateway(nodeId)));
  }

  private long tick(long nowNanos) {
    ClusterState state = control.state();
    if (isAssignmentStale) {
      isAssignmentStale = false;
      updateAssignment(state, nowNanos);
    }
    boolean mayOrder = contact.mayOrder(nowNanos);
    for (OwnedReplica replica : replicas.values()) {
      replica.tick(nowNanos);
      for (ReplicaAction action :
          replica.controller().decide(nowNanos, mayOrder, replica.runningCount())) {
        perform(state, replica.controller().generation(), action);
      }
    }
    replicas
        .entrySet()
        .removeIf(
            entry ->
                entry.getValue().runningCount() == 0
                    && (state.generation(entry.getKey()).isEmpty() || !isOwned(entry.getKey())));
    publish(state, nowNanos);
    if (replicas.values().stream().anyMatch(OwnedReplica::isConfirmingEnd)) {
      return CONFIRMING_TICK_MS;
    }
    return snapshot.running() + snapshot.queued() > 0 ? BUSY_TICK_MS : IDLE_TICK_MS;
  }

  private boolean isOwned(long generation) {
    return owners.owner(generation).filter(n -> n.id().equals(settings.nodeId())).isPresent();
  }

  private void updateAssignment(ClusterState state, long nowNanos) {
    deriveOwners(state);
    Set<Long> owned = new HashSet<>(owners.ownedBy(settings.nodeId()));
    for (long number : owned) {
      Generation generation = state.generations().get(number);
      if (generation != null && !replicas.containsKey(number)) {
        replicas.put(number, newReplica(generation, nowNanos));
        LOG.infof(
            "SR-0301 this process now owns generation %d of model %s", number, generation.model());
      }
    }
    replicas.forEach(
        (number, replica) -> {
          state.generation(number).ifPresent(g -> replica.controller().setGeneration(g, nowNanos));
          state
              .configuration()
              .model(replica.controller().generation().model())
              .ifPresent(replica::setModel);
          Generation generation = replica.controller().generation();
          if (!owned.contains(number) || !generation.isStanding() || isStopping) {
            replica.closeIntake();
          } else {
            replica.openIntake();
          }
          if (generation.dissolved() != null && !generation.dissolved().isGraceful()) {
            replica.failRunning(ErrorCode.REPLICA_LOST, "the replica was dissolved");
          }
        });
  }

  /** Derives the owners again if the set of generations or of working processes has changed. */
  private void deriveOwners(ClusterState state) {
    List<Node> working = members.view().workingNodes();
    Set<Long> numbers = state.generations().keySet();
    if (!working.equals(derivedFromNodes) || !numbers.equals(derivedFromGenerations)) {
      derivedFromNodes = working;
      derivedFromGenerations = Set.copyOf(numbers);
      owners = OwnerMap.of(state.generations().values(), working);
    }
  }

  private OwnedReplica newReplica(Generation generation, long nowNanos) {
    ReplicaController controller =
        new ReplicaController(
            generation,
            settings.replicaTiming(),
            () -> orderPrefix + nextOrder.getAndIncrement(),
            nowNanos);
    return new OwnedReplica(
        controller,
        engines,
        contact,
        metrics,
        ownerThread,
        TimeUnit.MILLISECONDS.toNanos(settings.probeMs()),
        nowNanos);
  }

  private void perform(ClusterState state, Generation generation, ReplicaAction action) {
    metrics.count("shoreroad.owner.actions", "action", action.getClass().getSimpleName());
    if (action instanceof ReplicaAction.OrderLoad load) {
      String version =
          state.configuration().model(generation.model()).map(ModelSpec::version).orElse("");
      engines.orderLoad(generation, version, load.box(), load.name(), load.rank());
    } else if (action instanceof ReplicaAction.OrderUnload unload) {
      engines.orderUnload(generation, unload.box(), unload.loadName());
    } else if (action instanceof ReplicaAction.ProposeDissolve dissolve) {
      LOG.infof(
          "SR-0302 proposing to dissolve generation %d: %s",
          generation.number(), dissolve.reason());
      appender.append(
          new LogRecord.ReplicaDissolved(appender.newId(), generation.number(), dissolve.reason()));
    } else if (action instanceof ReplicaAction.ProposeRelease release) {
      appender.append(
          new LogRecord.BoxReleased(appender.newId(), generation.number(), release.box()));
    }
  }

  private void publish(ClusterState state, long nowNanos) {
    List<OwnerSnapshot.ReplicaView> views = new ArrayList<>();
    int serving = 0;
    int running = 0;
    int queued = 0;
    double elapsedSeconds = (nowNanos - lastTickNanos) / 1e9;
    lastTickNanos = nowNanos;
    for (OwnedReplica replica : replicas.values()) {
      Generation generation = replica.controller().generation();
      boolean isServing = replica.isServing(nowNanos);
      views.add(
          new OwnerSnapshot.ReplicaView(
              generation,
              isServing,
              replica.runningCount(),
              replica.queuedCount(),
              describeBoxes(replica.controller())));
      serving += isServing ? 1 : 0;
      running += replica.runningCount();
      queued += replica.queuedCount();
      if (!isServing) {
        downtimeSeconds += generation.isStanding() ? elapsedSeconds : 0;
        strandedBoxSeconds += generation.heldBoxes().size() * elapsedSeconds;
      }
    }
    snapshot = new OwnerSnapshot(views, serving, running, queued);
  }

  private static Map<String, String> describeBoxes(ReplicaController controller) {
    Map<String, String> boxes = new HashMap<>();
    for (var box : controller.generation().boxes()) {
      controller
          .evidence(box.name())
          .ifPresent(
              evidence -> {
                BoxReport report = evidence.report();
                String seen = report == null || evidence.hasFailedSince() ? "silent" : "answers";
                boxes.put(box.name(), seen);
              });
    }
    return boxes;
  }
}
