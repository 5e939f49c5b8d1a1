package org.shoreroad.daemon.member;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.jboss.logging.Logger;
import org.shoreroad.daemon.control.ControlAppender;
import org.shoreroad.daemon.control.ControlLog;
import org.shoreroad.daemon.kernel.EventLoop;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.peer.PeerListener;
import org.shoreroad.daemon.peer.PeerMessage;
import org.shoreroad.daemon.peer.PeerTransport;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.member.PeerStatus;
import org.shoreroad.member.SwimMembership;
import org.shoreroad.state.CheckpointCodec;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.Node;

/**
 * Runs the membership on a thread of its own, joins this process in the log, and catches up from a
 * peer that is ahead while the log is out of reach.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class MembershipService implements Service, PeerListener {
  /** The name of this service. */
  public static final String NAME = "members";

  private static final Logger LOG = Logger.getLogger(MembershipService.class);
  private static final long TICK_MS = 40;
  private static final long JOIN_RETRY_MS = 1_000;
  private static final long CATCH_UP_RETRY_MS = 200;
  private static final Runnable IGNORE = () -> {};

  private final Settings settings;
  private final PeerTransport transport;
  private final ControlLog control;
  private final ControlAppender appender;
  private final Metrics metrics;
  private final SwimMembership membership;
  private final EventLoop duty = new EventLoop(NAME, this::tick);
  private final List<Consumer<MembershipView>> listeners = new CopyOnWriteArrayList<>();
  private final Map<String, Node> nodeById = new HashMap<>();
  private volatile MembershipView view = MembershipView.EMPTY;
  private volatile boolean isLeaving;
  private long joinAskedNanos;
  private long catchUpAskedNanos;

  /** Creates the service; {@link #start} starts its thread. */
  @Inject
  public MembershipService(
      Settings settings,
      PeerTransport transport,
      ControlLog control,
      ControlAppender appender,
      Metrics metrics) {
    this.settings = settings;
    this.transport = transport;
    this.control = control;
    this.appender = appender;
    this.metrics = metrics;
    long now = System.nanoTime();
    this.membership =
        new SwimMembership(
            settings.nodeId(), settings.membershipTiming(), settings.nodeId().hashCode(), now);
    this.joinAskedNanos = now - TimeUnit.MILLISECONDS.toNanos(JOIN_RETRY_MS);
    this.catchUpAskedNanos = now;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    control.addListener(state -> duty.tryPost(() -> setState(state)));
    metrics.gauge("shoreroad.members.known", () -> view.statusById().size());
    metrics.gauge("shoreroad.members.working", () -> view.workingNodes().size());
    duty.start();
  }

  @Override
  public void stop() {
    duty.stop();
  }

  /** Adds a listener, called on this service's thread when the belief changes. */
  public void addListener(Consumer<MembershipView> listener) {
    listeners.add(listener);
  }

  /** Returns the latest view. */
  public MembershipView view() {
    return view;
  }

  /** Returns true if this process stands in the log. */
  public boolean isJoined() {
    return control.state().nodes().containsKey(settings.nodeId());
  }

  /** Returns true once this process is stopping. */
  public boolean isLeaving() {
    return isLeaving;
  }

  /** Asks every peer how far it is, for an operator who waits. */
  public void pingAll() {
    duty.tryPost(() -> sendAll(membership.pingAll(System.nanoTime())));
  }

  /** Tells the peers that this process takes on nothing new; it goes on with what it has. */
  public void leave() {
    isLeaving = true;
    duty.tryPost(membership::leave);
  }

  /** Tells the log that this process is gone; to be called when nothing runs here any more. */
  public void appendNodeLeft() {
    ClusterState.JoinedNode joined = control.state().nodes().get(settings.nodeId());
    if (joined != null) {
      appender.append(
          new LogRecord.NodeLeft(appender.newId(), settings.nodeId(), joined.joinedAt()));
    }
  }

  @Override
  public void onMessage(Node from, PeerMessage message) {
    if (message instanceof PeerMessage.Membership beat) {
      duty.tryPost(
          () -> {
            nodeById.putIfAbsent(from.id(), from);
            long now = System.nanoTime();
            sendAll(membership.receive(from.id(), beat.message(), now));
          });
    } else if (message instanceof PeerMessage.CatchUpRequest ask) {
      ClusterState state = control.state();
      if (state.appliedOffset() > ask.appliedOffset()) {
        byte[] checkpoint = CheckpointCodec.toBytes(state);
        transport.send(from, new PeerMessage.CatchUpState(checkpoint), IGNORE);
      }
    } else if (message instanceof PeerMessage.CatchUpState state) {
      control.adopt(state.checkpoint());
    }
  }

  private void setState(ClusterState state) {
    membership.setNodes(state.nodes().keySet());
    membership.setAppliedOffset(state.appliedOffset());
    state.nodes().values().forEach(joined -> nodeById.put(joined.node().id(), joined.node()));
    nodeById.keySet().retainAll(state.nodes().keySet());
    publish(System.nanoTime());
  }

  private long tick(long nowNanos) {
    sendAll(membership.tick(nowNanos));
    publish(nowNanos);
    join(nowNanos);
    catchUp(nowNanos);
    return TICK_MS;
  }

  private void sendAll(List<SwimMembership.Outgoing> messages) {
    for (SwimMembership.Outgoing message : messages) {
      Node to = nodeById.get(message.nodeId());
      if (to != null) {
        transport.send(to, new PeerMessage.Membership(message.message()), IGNORE);
      }
    }
  }

  private void publish(long nowNanos) {
    Map<String, PeerStatus> statusById = new HashMap<>();
    Map<String, Long> appliedById = new HashMap<>();
    for (String id : control.state().nodes().keySet()) {
      statusById.put(id, membership.statusOf(id));
      appliedById.put(id, membership.appliedOffsetOf(id));
    }
    List<Node> working =
        membership.workingIds().stream()
            .map(id -> id.equals(settings.nodeId()) ? transport.self() : nodeById.get(id))
            .filter(node -> node != null && control.state().nodes().containsKey(node.id()))
            .toList();
    MembershipView before = view;
    view =
        new MembershipView(
            statusById,
            appliedById,
            working,
            membership.isMajorityAlive(),
            membership.contactNanos(),
            membership.hasContact(),
            membership.highestPeerOffset());
    if (!before.statusById().equals(statusById) || !before.workingNodes().equals(working)) {
      reportChanges(before, statusById);
      listeners.forEach(listener -> listener.accept(view));
    }
  }

  private void reportChanges(MembershipView before, Map<String, PeerStatus> after) {
    after.forEach(
        (id, status) -> {
          PeerStatus was = before.statusById().get(id);
          if (was != status && !id.equals(settings.nodeId())) {
            LOG.infof("SR-0201 process %s is %s", id, status);
            metrics.count("shoreroad.members.changes", "status", status.name());
            if (status == PeerStatus.DEAD) {
              transport.drop(id);
            }
          }
        });
  }

  /** Joins, and joins again if others have buried this process. */
  private void join(long nowNanos) {
    boolean isDue = nowNanos - joinAskedNanos >= TimeUnit.MILLISECONDS.toNanos(JOIN_RETRY_MS);
    if (isDue && !isLeaving && control.isJoined() && !isJoined()) {
      joinAskedNanos = nowNanos;
      appender.append(new LogRecord.NodeJoined(appender.newId(), transport.self()));
    }
  }

  /** Asks a random live peer for its state while peers are ahead and the log is out of reach. */
  private void catchUp(long nowNanos) {
    boolean isBehind = membership.highestPeerOffset() > control.state().appliedOffset();
    boolean isDue =
        nowNanos - catchUpAskedNanos >= TimeUnit.MILLISECONDS.toNanos(CATCH_UP_RETRY_MS);
    if (!isBehind || !isDue || control.isInContact(nowNanos, settings.contactNanos())) {
      return;
    }
    catchUpAskedNanos = nowNanos;
    for (Node node : view.workingNodes()) {
      if (!node.id().equals(settings.nodeId())) {
        transport.send(node, new PeerMessage.CatchUpRequest(control.state().appliedOffset()), IGNORE);
      }
    }
  }
}
