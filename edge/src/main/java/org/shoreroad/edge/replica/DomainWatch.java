package org.shoreroad.edge.replica;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.shoreroad.edge.peer.FailureDetector;
import org.shoreroad.edge.sync.Fleet;
import org.shoreroad.fleet.DomainReconciler;
import org.shoreroad.fleet.FleetBox;
import org.shoreroad.fleet.MemberState;
import org.shoreroad.fleet.Membership;
import org.shoreroad.fleet.ObservedBox;
import org.shoreroad.fleet.ObservedBox.Reach;
import org.shoreroad.fleet.ReplicaId;

/**
 * Sees the boxes of domains for their keepers: asks those of which more must be known, and tells a
 * box that is dead from one that is only cut off. Used on the event loop.
 */
final class DomainWatch {
  /** Between two questions to a head that ends its work. */
  private static final long BUSY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(140);

  /** Between two questions to a box that joins, or whose replica stands still. */
  private static final long FORMING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  /** A report of an engine confirms where it stands for this long after it was asked. */
  private static final long CONFIRMED_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final long CONFIRMING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  /** Maximum interval between report requests to a joining box: before it is due, or long after. */
  private static final long LOADING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(700);

  /**
   * The interval between report requests to an overdue box is the overdue time divided by this.
   * Loads that share the weight store take up to eight times as long as one alone.
   */
  private static final long OVERDUE_PARTS = 5;

  /** To a box that did not answer, for the first second. */
  private static final long NEWLY_SILENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(130);

  /** To a box that did not answer. */
  private static final long SILENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

  private static final long NEWLY_SILENT_NANOS = TimeUnit.SECONDS.toNanos(1);

  /**
   * Beyond the time in which an engine breaks a replica that lost a member. That time runs from the
   * loss, and this process counts from the first silence, which is later.
   */
  private static final int STALL_MARGIN_MS = 400;

  /**
   * A deregistered box closes its listener but may finish running requests for up to 10 s. One
   * second of margin.
   */
  private static final long LEAVING_NANOS = TimeUnit.SECONDS.toNanos(11);

  private final LongSupplier clockNanos;
  private final Fleet fleet;
  private final EngineContact contact;
  private final FailureDetector failureDetector;
  private final Supplier<Set<String>> alivePeers;
  private final long certainNanos;
  private final Set<ReplicaId> headsSeen = new HashSet<>();
  private final Set<String> busyDomains = new HashSet<>();

  DomainWatch(
      LongSupplier clockNanos,
      Fleet fleet,
      EngineContact contact,
      FailureDetector failureDetector,
      Supplier<Set<String>> alivePeers,
      int stallMs) {
    this.clockNanos = clockNanos;
    this.fleet = fleet;
    this.contact = contact;
    this.failureDetector = failureDetector;
    this.alivePeers = alivePeers;
    this.certainNanos = TimeUnit.MILLISECONDS.toNanos(stallMs + STALL_MARGIN_MS);
  }

  /**
   * Returns the boxes as they are seen now, and asks those of which more must be known.
   *
   * @param key names the service and the domain
   * @param keeper what is under way in the domain
   * @param boxes the boxes of the domain
   * @param suspected the heads that stand still
   */
  List<ObservedBox> look(
      String key, DomainReconciler keeper, List<FleetBox> boxes, Set<String> suspected) {
    long nowNanos = clockNanos.getAsLong();
    boxes.forEach(this::findUnlistedHead);
    Set<String> doubtful = findDoubtful(boxes, suspected);
    askBoxes(key, keeper, boxes, doubtful, nowNanos);
    List<ObservedBox> observedBoxes = new ArrayList<>();
    for (FleetBox box : boxes) {
      FleetBox newest = fleet.find(box.id());
      if (newest != null) {
        boolean isStandingStill = suspected.contains(box.id());
        observedBoxes.add(observe(newest, doubtful.contains(box.id()), isStandingStill, nowNanos));
      }
    }
    return observedBoxes;
  }

  /** Returns the replicas whose heads were seen by this process at any time. */
  Set<ReplicaId> headsSeen() {
    return headsSeen;
  }

  /** Returns true if a replica is formed or closed in any domain. */
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
   * Makes the head of a box's replica known by what the replica's name tells, if the list does not
   * hold it: it may serve on without the store.
   */
  private void findUnlistedHead(FleetBox box) {
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
    boolean mayLive =
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
    if (!mayLive) {
      headsSeen.add(replica);
    }
  }

  private ObservedBox observe(
      FleetBox box, boolean isDoubtful, boolean isStandingStill, long nowNanos) {
    ReachabilityTable reach = contact.reach();
    boolean isListed = fleet.isListed(box.id());
    Reach reached = reach.reach(box.id(), isDoubtful, nowNanos);
    if (reached == Reach.LOST) {
      // The others need time to ask the box, so they are told before the list tells.
      failureDetector.askPeers(box.id(), box.address());
    }
    if (reached == Reach.LOST && !isListed) {
      // A head that only was cut off has been broken by its own engine by then.
      long limitNanos = reach.isRefusing(box.id()) ? LEAVING_NANOS : certainNanos;
      boolean isLong = reach.silentNanos(box.id(), nowNanos) > limitNanos;
      if (isLong && failureDetector.isSilentForAll(box.id(), alivePeers.get())) {
        reached = Reach.GONE;
      }
    }
    boolean isSteady = reach.isSteady(box.id(), certainNanos, nowNanos);
    boolean isConfirmed = reach.hasReport(box.id(), CONFIRMED_NANOS, nowNanos);
    String lastModel = fleet.lastModel(box.id());
    // A box whose entry is gone for good serves on for a while, as one that said that it leaves.
    FleetBox seen = fleet.isEligible(box.id()) ? box : box.withLeaving();
    return new ObservedBox(
        seen, isListed, reached, isSteady, isConfirmed, isStandingStill, lastModel);
  }

  /** Returns the members of all replicas whose heads are suspected. */
  private static Set<String> findDoubtful(List<FleetBox> boxes, Set<String> suspected) {
    Set<ReplicaId> replicas = new HashSet<>();
    for (FleetBox box : boxes) {
      if (box.membership() != null && suspected.contains(box.id())) {
        replicas.add(box.membership().replica());
      }
    }
    Set<String> doubtful = new HashSet<>();
    for (FleetBox box : boxes) {
      if (box.membership() != null && replicas.contains(box.membership().replica())) {
        doubtful.add(box.id());
      }
    }
    return doubtful;
  }

  /** Asks the boxes of a domain, each as often as what happens there needs. */
  private void askBoxes(
      String key,
      DomainReconciler keeper,
      List<FleetBox> boxes,
      Set<String> doubtful,
      long nowNanos) {
    if (keeper.isBusy()) {
      busyDomains.add(key);
    } else {
      busyDomains.remove(key);
    }
    Map<String, Long> formingDueNanos = keeper.formingDueNanos();
    Set<String> closing = keeper.closingHeadIds();
    for (FleetBox box : boxes) {
      String id = box.id();
      if (contact.reach().isSilent(id) || !fleet.isListed(id)) {
        boolean isNew = contact.reach().silentNanos(id, nowNanos) < NEWLY_SILENT_NANOS;
        long intervalNanos = isNew ? NEWLY_SILENT_INTERVAL_NANOS : SILENT_INTERVAL_NANOS;
        contact.ask(box, intervalNanos, nowNanos);
      } else if (doubtful.contains(id)) {
        contact.ask(box, FORMING_INTERVAL_NANOS, nowNanos);
      } else if (formingDueNanos.containsKey(id) && contact.reportsCount(id, nowNanos)) {
        contact.ask(box, formingIntervalNanos(nowNanos - formingDueNanos.get(id)), nowNanos);
      } else if (closing.contains(id)) {
        contact.ask(box, BUSY_INTERVAL_NANOS, nowNanos);
      }
      if (keeper.needsReports()) {
        contact.ask(box, CONFIRMING_INTERVAL_NANOS, nowNanos);
      }
    }
  }

  private static long formingIntervalNanos(long overdueNanos) {
    if (overdueNanos < 0) {
      return LOADING_INTERVAL_NANOS;
    }
    long intervalNanos = Math.max(FORMING_INTERVAL_NANOS, overdueNanos / OVERDUE_PARTS);
    return Math.min(LOADING_INTERVAL_NANOS, intervalNanos);
  }

  /** Forgets boxes and replicas that are gone. */
  void forgetOthers() {
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
    contact.retain(known);
    headsSeen.retainAll(replicas);
  }
}
