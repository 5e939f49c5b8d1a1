package org.shoreroad.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.shoreroad.daemon.kernel.EventLoop;
import org.shoreroad.daemon.kernel.Kernel;
import org.shoreroad.daemon.kernel.Service;
import org.shoreroad.daemon.member.MembershipService;
import org.shoreroad.daemon.member.MembershipView;
import org.shoreroad.daemon.metrics.Metrics;
import org.shoreroad.daemon.platform.BoxList;
import org.shoreroad.daemon.platform.LogException;
import org.shoreroad.daemon.settings.Settings;
import org.shoreroad.member.PeerStatus;
import org.shoreroad.placement.ListedBox;
import org.shoreroad.placement.PlanStep;
import org.shoreroad.placement.Planner;
import org.shoreroad.routing.Rendezvous;
import org.shoreroad.state.ClusterState;
import org.shoreroad.state.LogRecord;
import org.shoreroad.state.Outcome;

/**
 * Runs the planner on one process at a time, chosen by rendezvous hashing among those that take new
 * work.
 *
 * <p>Two planners at the same time are safe: of two conflicting records, every process rejects the
 * later. Thread-safe.
 *
 * @since 0.1
 */
@Singleton
public final class PlannerService implements Service {
  /** The name of this service. */
  public static final String NAME = "planner";

  private static final long TICK_MS = 250;
  private static final long IDLE_TICK_MS = 2_000;
  private static final long REMOVE_DEAD_AFTER_MS = 10_000;

  private final ControlLog control;
  private final ControlAppender appender;
  private final MembershipService members;
  private final BoxList boxList;
  private final Metrics metrics;
  private final Settings settings;
  private final EventLoop eventLoop = new EventLoop(NAME, this::tick);
  private final Map<String, Long> deadSinceNanos = new HashMap<>();
  private CompletableFuture<?> outstanding = CompletableFuture.completedFuture(null);
  private volatile List<ListedBox> listedBoxes = List.of();

  /** Creates the planner; {@link #start} starts its thread. */
  @Inject
  public PlannerService(
      ControlLog control,
      ControlAppender appender,
      MembershipService members,
      BoxList boxList,
      Metrics metrics,
      Settings settings) {
    this.control = control;
    this.appender = appender;
    this.members = members;
    this.boxList = boxList;
    this.metrics = metrics;
    this.settings = settings;
  }

  @Override
  public String name() {
    return NAME;
  }

  @Override
  public void start(Kernel kernel) {
    metrics.gauge("shoreroad.planner.boxes.listed", () -> listedBoxes.size());
    metrics.gauge("shoreroad.planner.boxes.free", this::countFree);
    metrics.gauge("shoreroad.planner.models.lacking", this::countLacking);
    eventLoop.start();
  }

  @Override
  public void stop() {
    eventLoop.stop();
  }

  /** Returns the boxes that this process last read from the platform's list. */
  public List<ListedBox> listedBoxes() {
    return listedBoxes;
  }

  /** Returns true if this process currently runs the planner. */
  public boolean isPlanner() {
    return Rendezvous.choose(NAME, members.view().workingIds(), id -> id)
        .filter(settings.nodeId()::equals)
        .isPresent();
  }

  private int countFree() {
    ClusterState state = control.state();
    return (int)
        listedBoxes.stream().filter(box -> state.holderOf(box.box().name()) == null).count();
  }

  private int countLacking() {
    return Planner.findLacking(control.state()).size();
  }

  /** Reads the list less often on processes that only show it to operators. */
  private long tick(long nowNanos) {
    plan(nowNanos);
    return isPlanner() ? TICK_MS : IDLE_TICK_MS;
  }

  private void plan(long nowNanos) {
    try {
      listedBoxes = boxList.read();
    } catch (LogException e) {
      metrics.count("shoreroad.planner.list.failures");
      return;
    }
    boolean isInContact = control.isInContact(nowNanos, settings.contactNanos());
    if (!control.isJoined() || !isInContact || !isPlanner() || !outstanding.isDone()) {
      return;
    }
    List<CompletableFuture<Outcome>> appended = new ArrayList<>();
    ClusterState state = control.state();
    for (PlanStep step : Planner.plan(state, listedBoxes)) {
      appended.add(appender.append(toRecord(step)));
      metrics.count("shoreroad.planner.steps", "step", step.getClass().getSimpleName());
    }
    for (LogRecord left : findDeadProcesses(state, nowNanos)) {
      appended.add(appender.append(left));
    }
    outstanding =
        CompletableFuture.allOf(appended.toArray(CompletableFuture[]::new))
            .exceptionally(e -> null);
  }

  private LogRecord toRecord(PlanStep step) {
    String id = appender.newId();
    if (step instanceof PlanStep.Form form) {
      return new LogRecord.ReplicaFormed(id, form.model(), form.boxes());
    }
    PlanStep.Dissolve dissolve = (PlanStep.Dissolve) step;
    return new LogRecord.ReplicaDissolved(id, dissolve.generation(), dissolve.reason());
  }

  /** Returns the records that remove processes dead for over {@link #REMOVE_DEAD_AFTER_MS}. */
  private List<LogRecord> findDeadProcesses(ClusterState state, long nowNanos) {
    MembershipView view = members.view();
    List<LogRecord> left = new ArrayList<>();
    deadSinceNanos.keySet().retainAll(state.nodes().keySet());
    for (ClusterState.JoinedNode joined : state.nodes().values()) {
      String id = joined.node().id();
      if (view.statusOf(id) != PeerStatus.DEAD) {
        deadSinceNanos.remove(id);
        continue;
      }
      long since = deadSinceNanos.computeIfAbsent(id, i -> nowNanos);
      if (nowNanos - since > TimeUnit.MILLISECONDS.toNanos(REMOVE_DEAD_AFTER_MS)) {
        left.add(new LogRecord.NodeLeft(appender.newId(), id, joined.joinedAt()));
      }
    }
    return left;
  }
}
