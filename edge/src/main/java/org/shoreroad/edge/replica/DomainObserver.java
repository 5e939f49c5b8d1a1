package org.shoreroad.edge.replica;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.edge.peer.FailureDetector;
import org.shoreroad.edge.sync.Evacuations;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.edge.sync.StateOrigin;
import org.shoreroad.fleet.DomainReconciler;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ObservedBox;
import org.shoreroad.fleet.ObservedBox.Reach;
import org.shoreroad.fleet.ReplicaId;

/**
 * Observer of the boxes of fabric domains for the decisions of the lease holder.
 *
 * <p>Requests status reports from the boxes whose state is in doubt or about to change, and
 * distinguishes a dead box from one that is only unreachable. Not thread-safe: used on the event
 * loop.
 */
final class DomainObserver {
  /** Interval between report requests to a head that finishes its work before it closes. */
  private static final long CLOSING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(140);

  /**
   * Interval between report requests to a box that joins, or whose replica has a suspected head.
   */
  private static final long FORMING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** A report confirms the state of an engine for this long after the request for it. */
  private static final long CONFIRMED_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  /** Interval between report requests to all boxes while a decision needs confirmed states. */
  private static final long CONFIRMING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Maximum interval between report requests to a joining box: before it is due, or long after. */
  private static final long LOADING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /**
   * The interval between report requests to an overdue box is the overdue time divided by this.
   * Loads that share the weight store take up to eight times as long as one alone.
   */
  private static final long OVERDUE_DIVISOR = 5;

  /** Interval between report requests to a silent box during the first second of its silence. */
  private static final long NEWLY_SILENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(130);

  /** Interval between report requests to a box that has been silent for longer. */
  private static final long SILENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final long NEWLY_SILENT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Margin on the time after which an engine breaks a replica that lost a member. That time starts
   * at the loss; this process counts from the first unanswered request, which is later.
   */
  private static final int STALL_MARGIN_MS = 400;

  /**
   * Time for which a deregistered box may still run requests. It closes its listener at once and
   * finishes running requests for up to 10 s; one second of margin.
   */
  private static final long LEAVING_NANOS = TimeUnit.SECONDS.toNanos(11);

  private final LongSupplier clockNanos;
  private final Fleet fleet;
  private final EngineMonitor monitor;
  private final FailureDetector failureDetector;
  private final Supplier<Set<String>> alivePeers;
  private final long replicaBreakNanos;
  private final Set<ReplicaId> headsSeen = new HashSet<>();
  private final Set<String> busyDomains = new HashSet<>();
  private @Nullable Evacuations evacuations;

  DomainObserver(
      LongSupplier clockNanos,
      Fleet fleet,
      EngineMonitor monitor,
      FailureDetector failureDetector,
      Supplier<Set<String>> alivePeers,
      int stallMs) {
    this.clockNanos = clockNanos;
    this.fleet = fleet;
    this.monitor = monitor;
    this.failureDetector = failureDetector;
    this.alivePeers = alivePeers;
    this.replicaBreakNanos = TimeUnit.MILLISECONDS.toNanos(stallMs + STALL_MARGIN_MS);
  }

  /** Sets the evacuated zones; boxes there are observed as leaving, so that they form nothing. */
  void setEvacuations(Evacuations newEvacuations) {
    evacuations = newEvacuations;
  }

  /**
   * Returns the current observations of the boxes, and requests reports where they are needed.
   *
   * @param key the key of the service and the domain
   * @param reconciler the reconciler of the domain
   * @param boxes the boxes of the domain
   * @param suspected the heads whose requests make no progress
   */
  List<ObservedBox> observe(
      String key, DomainReconciler reconciler, List<FleetBox> boxes, Set<String> suspected) {
    long nowNanos = clockNanos.getAsLong();
    boxes.forEach(this::addUnlistedHead);
    Set<String> suspectedMembers = findSuspectedMembers(boxes, suspected);
    requestReports(key, reconciler, boxes, suspectedMembers, nowNanos);
    List<ObservedBox> observedBoxes = new ArrayList<>();
    for (FleetBox box : boxes) {
      FleetBox newest = fleet.find(box.id());
      if (newest != null) {
        boolean isStalled = suspected.contains(box.id());
        observedBoxes.add(
            observeBox(newest, suspectedMembers.contains(box.id()), isStalled, nowNanos));
      }
    }
    return observedBoxes;
  }

  /** Returns the replicas whose heads were seen by this process at any time. */
  Set<ReplicaId> headsSeen() {
    return headsSeen;
  }

  /** Returns true if a replica is being formed or closed in any domain. */
  boolean isAnyBusy() {
    return !busyDomains.isEmpty();
  }

  void forgetDomain(String key) {
    busyDomains.remove(key);
  }

  void forgetDomains() {
    busyDomains.clear();
  }

  /**
   * Adds the head of a box's replica to the fleet if the list lacks it, since it may continue to
   * serve while it cannot reach the store. The name of the replica contains its id and address.
   */
  private void addUnlistedHead(FleetBox box) {
    Membership membership = box.membership();
    if (membership == null || headsSeen.contains(membership.replica())) {
      return;
    }
    ReplicaId replica = membership.replica();
    String headId = replica.headId();
    String address = replica.headAddress();
    if (headId == null || address == null || fleet.find(headId) != null) {
      return;
    }
    Membership assumed = new Membership(replica, 0, MemberState.OPEN);
    boolean mayRun =
        fleet.addUnlisted(
            new FleetBox(
                headId,
                box.service(),
                address,
                box.zone(),
                box.slots(),
                true,
                box.domain(),
                null,
                List.of(),
                assumed));
    if (!mayRun) {
      headsSeen.add(replica);
    }
  }

  private ObservedBox observeBox(
      FleetBox box, boolean isSuspect, boolean isStalled, long nowNanos) {
    ReachabilityTable reachability = monitor.reachability();
    boolean isListed = fleet.isListed(box.id());
    Reach reached = reachability.reach(box.id(), isSuspect, nowNanos);
    if (reached == Reach.LOST) {
      // The peers need time to try the box, so they are asked before the entry is removed.
      failureDetector.askPeers(box.id(), box.address());
    }
    if (reached == Reach.LOST && !isListed) {
      // A head that was cut off from its members too has broken its replica by then. Members that
      // it still reaches leave before they join another one.
      long limitNanos = reachability.isRefusing(box.id()) ? LEAVING_NANOS : replicaBreakNanos;
      boolean isCertain = reachability.silentNanos(box.id(), nowNanos) > limitNanos;
      if (isCertain && failureDetector.isSilentForAll(box.id(), alivePeers.get())) {
        reached = Reach.GONE;
      }
    }
    boolean isSteady = reachability.isSteady(box.id(), replicaBreakNanos, nowNanos);
    // An entry or a report of a peer may have replaced the state that the engine reported.
    StateOrigin origin = fleet.stateOrigin(box.id());
    boolean isConfirmed =
        reachability.hasReport(box.id(), CONFIRMED_NANOS, nowNanos)
            && origin != null
            && origin.isFromEngine();
    String lastModel = fleet.lastModel(box.id());
    // A box whose entry was removed continues to serve for a while, like one that announced its
    // end.
    boolean isEvacuated = evacuations != null && evacuations.isEvacuated(box.zone());
    FleetBox seen = fleet.isEligible(box.id()) && !isEvacuated ? box : box.withLeaving();
    return new ObservedBox(seen, isListed, reached, isSteady, isConfirmed, isStalled, lastModel);
  }

  /** Returns the ids of the members of all replicas whose heads are suspected. */
  private static Set<String> findSuspectedMembers(List<FleetBox> boxes, Set<String> suspected) {
    Set<ReplicaId> replicas = new HashSet<>();
    for (FleetBox box : boxes) {
      if (box.membership() != null && suspected.contains(box.id())) {
        replicas.add(box.membership().replica());
      }
    }
    Set<String> suspectedMembers = new HashSet<>();
    for (FleetBox box : boxes) {
      if (box.membership() != null && replicas.contains(box.membership().replica())) {
        suspectedMembers.add(box.id());
      }
    }
    return suspectedMembers;
  }

  /** Requests reports from the boxes of a domain, each at the interval that its state needs. */
  private void requestReports(
      String key,
      DomainReconciler reconciler,
      List<FleetBox> boxes,
      Set<String> suspectedMembers,
      long nowNanos) {
    if (reconciler.isBusy()) {
      busyDomains.add(key);
    } else {
      busyDomains.remove(key);
    }
    Map<String, Long> formingDueNanos = reconciler.formingDueNanos();
    Set<String> closing = reconciler.closingHeadIds();
    for (FleetBox box : boxes) {
      String id = box.id();
      if (monitor.reachability().isSilent(id) || !fleet.isListed(id)) {
        boolean isNew = monitor.reachability().silentNanos(id, nowNanos) < NEWLY_SILENT_NANOS;
        long intervalNanos = isNew ? NEWLY_SILENT_INTERVAL_NANOS : SILENT_INTERVAL_NANOS;
        monitor.requestReport(box, intervalNanos, nowNanos);
      } else if (suspectedMembers.contains(id)) {
        monitor.requestReport(box, FORMING_INTERVAL_NANOS, nowNanos);
      } else if (formingDueNanos.containsKey(id) && monitor.acceptsReports(id, nowNanos)) {
        monitor.requestReport(
            box, formingIntervalNanos(nowNanos - formingDueNanos.get(id)), nowNanos);
      } else if (closing.contains(id)) {
        monitor.requestReport(box, CLOSING_INTERVAL_NANOS, nowNanos);
      }
      if (reconciler.needsReportFrom(id)) {
        monitor.requestReport(box, CONFIRMING_INTERVAL_NANOS, nowNanos);
      }
    }
  }

  private static long formingIntervalNanos(long overdueNanos) {
    if (overdueNanos < 0) {
      return LOADING_INTERVAL_NANOS;
    }
    long intervalNanos = Math.max(FORMING_INTERVAL_NANOS, overdueNanos / OVERDUE_DIVISOR);
    return Math.min(LOADING_INTERVAL_NANOS, intervalNanos);
  }

  /** Forgets boxes and replicas that no longer exist. */
  void forgetStale() {
    Set<String> known = new HashSet<>(failureDetector.askedByPeers().keySet());
    Set<ReplicaId> replicas = new HashSet<>();
    for (FleetBox box : fleet.boxes()) {
      known.add(box.id());
      Membership membership = box.membership();
      if (membership != null) {
        replicas.add(membership.replica());
        if (membership.isHead()) {
          headsSeen.add(membership.replica());
        }
      }
    }
    monitor.retain(known);
    headsSeen.retainAll(replicas);
  }
}
