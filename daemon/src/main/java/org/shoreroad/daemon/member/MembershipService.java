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
 * Runs the membership protocol on its own thread, adds this process to the log, and catches up from
 * peers with a higher applied offset while the log is unreachable.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class MembershipService implements Service, PeerListener {
  /** The name of this service. */
  public static final String NAME = "members";

  private static final Logger LOG = Logger.getLogger("org.shoreroad.daemon.member.Members");
  private static final long TICK_MS = 40;
  private static final long JOIN_RETRY_MS = 1_000;
  private static final long CATCH_UP_RETRY_MS = 200;
  private static final Runnable IGNORE_NOT_SENT = () -> {};

  private final Settings settings;
  private final PeerTransport transport;
  private final ControlLog control;
  private final ControlAppender appender;
  private final Metrics metrics;
  private final SwimMembership membership;
  private final EventLoop eventLoop = new EventLoop(NAME, this::tick);
  private final List<Consumer<MembershipView>> listeners = new CopyOnWriteArrayList<>();
  private final Map<String, Node> nodeById = new HashMap<>();
  private volatile MembershipView view = MembershipView.EMPTY;
  private volatile boolean isLeaving;
  private long joinSentNanos;
  private long catchUpSentNanos;

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
    this.joinSentNanos = now - TimeUnit.MILLISECONDS.toNanos(JOIN_RETRY_MS);
    this.catchUpSentNanos = now;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    control.addListener(state -> eventLoop.tryPost(() -> setState(state)));
    metrics.gauge("shoreroad.members.known", () -> view.statusById().size());
    metrics.gauge("shoreroad.members.working", () -> view.workingNodes().size());
    eventLoop.start();
  }

  @Override
  public void stop() {
    eventLoop.stop();
  }

  /** Adds a listener for changed views, called on this service's thread. */
  public void addListener(Consumer<MembershipView> listener) {
    listeners.add(listener);
  }

  /** Returns the latest view. */
  public MembershipView view() {
    return view;
  }

  /** Returns true if the applied state contains this process. */
  public boolean isJoined() {
    return control.state().nodes().containsKey(settings.nodeId());
  }

  /** Returns true once {@link #leave} was called. */
  public boolean isLeaving() {
    return isLeaving;
  }

  /** Pings every peer for its applied offset, so that a waiting operator gets current values. */
  public void pingAll() {
    eventLoop.tryPost(() -> sendAll(membership.pingAll(System.nanoTime())));
  }

  /** Announces to the peers that this process takes no new work; its current work continues. */
  public void leave() {
    isLeaving = true;
    eventLoop.tryPost(membership::leave);
  }

  /** Appends the record that removes this process; to be called once it has no running requests. */
  public void appendNodeLeft() {
    ClusterState.JoinedNode joined = control.state().nodes().get(settings.nodeId());
    if (joined != null) {
      appender.append(
          new LogRecord.NodeLeft(appender.newId(), settings.nodeId(), joined.joinedAt()));
    }
  }

  @Override
  public void onMessage(Node from, PeerMessage message) {
    if (message instanceof PeerMessage.Membership received) {
      eventLoop.tryPost(
          () -> {
            nodeById.putIfAbsent(from.id(), from);
            long now = System.nanoTime();
            sendAll(membership.receive(from.id(), received.message(), now));
          });
    } else if (message instanceof PeerMessage.CatchUpRequest request) {
      ClusterState state = control.state();
      if (state.appliedOffset() > request.appliedOffset()) {
        byte[] checkpoint = CheckpointCodec.toBytes(state);
        transport.send(from, new PeerMessage.CatchUpState(checkpoint), IGNORE_NOT_SENT);
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
        transport.send(to, new PeerMessage.Membership(message.message()), IGNORE_NOT_SENT);
      }
    }
  }

  private void publish(long nowNanos) {
    Map<String, PeerStatus> statusById = new HashMap<>();
    Map<String, Long> appliedOffsetById = new HashMap<>();
    for (String id : control.state().nodes().keySet()) {
      statusById.put(id, membership.statusOf(id));
      appliedOffsetById.put(id, membership.appliedOffsetOf(id));
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
            appliedOffsetById,
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

  /** Appends the record that adds this process, again if another process has removed it. */
  private void join(long nowNanos) {
    boolean isDue = nowNanos - joinSentNanos >= TimeUnit.MILLISECONDS.toNanos(JOIN_RETRY_MS);
    if (isDue && !isLeaving && control.isJoined() && !isJoined()) {
      joinSentNanos = nowNanos;
      appender.append(new LogRecord.NodeJoined(appender.newId(), transport.self()));
    }
  }

  /**
   * Requests the state of the working peers if one has a higher offset and the log is unreachable.
   */
  private void catchUp(long nowNanos) {
    boolean isBehind = membership.highestPeerOffset() > control.state().appliedOffset();
    boolean isDue = nowNanos - catchUpSentNanos >= TimeUnit.MILLISECONDS.toNanos(CATCH_UP_RETRY_MS);
    if (!isBehind || !isDue || control.isInContact(nowNanos, settings.contactNanos())) {
      return;
    }
    catchUpSentNanos = nowNanos;
    for (Node node : view.workingNodes()) {
      if (!node.id().equals(settings.nodeId())) {
        transport.send(
            node, new PeerMessage.CatchUpRequest(control.state().appliedOffset()), IGNORE_NOT_SENT);
      }
    }
  }
}
