package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shoreroad.fleet.BoxOrder.Verb;

/**
 * Reconciler of one fabric domain: forms its replicas and replaces those that lost a member.
 *
 * <p>Each call compares the status reports of the boxes with the plan and returns the next orders.
 * An order without a visible effect is repeated. A box joins another replica only after the engine
 * of its former head has accepted the order to leave, or after the box itself has left. So a head
 * has closed before its members belong to another replica, and a delayed order to open matches the
 * replica of no box that has left it. Not thread-safe: used by one thread.
 *
 * @since 0.2
 */
public final class DomainReconciler {
  private final String domain;
  private final ReconcilerTiming timing;
  private final LongSupplier epochs;
  private final Map<ReplicaId, Formation> formations = new LinkedHashMap<>();
  private final ClosingReplicas closingReplicas;
  private final UnansweredJoins unansweredJoins = new UnansweredJoins();
  private final DepartedHeads departedHeads = new DepartedHeads(unansweredJoins);
  private final HeadlessReplicas headlessReplicas;
  private final HostPreparation hostPreparation = new HostPreparation();
  private final SpareWarmup warmups;
  private final ReplicaConversion conversion;
  private final RecentOrders recentOrders;
  private final Set<String> unconfirmedIds = new HashSet<>();
  private List<BoxOrder> orders = new ArrayList<>();
  private DomainView view = new DomainView(List.of());
  private Demand demand = Demand.NONE;
  private Map<String, Integer> wantedCounts = Map.of();

  /**
   * Creates a reconciler without any formation in progress.
   *
   * @param domain the name of the domain, not null
   * @param timing the time limits, not null
   * @param epochs returns a number higher than any returned before, in any process, not null
   */
  public DomainReconciler(String domain, ReconcilerTiming timing, LongSupplier epochs) {
    this.domain = domain;
    this.timing = timing;
    this.epochs = epochs;
    this.closingReplicas = new ClosingReplicas(timing);
    this.headlessReplicas = new HeadlessReplicas(timing.headlessNanos(), departedHeads);
    this.warmups = new SpareWarmup(domain, epochs);
    this.conversion = new ReplicaConversion(domain);
    this.recentOrders = new RecentOrders(timing.orderRepeatNanos());
  }

  /** Returns the ids of the heads of replicas that are being closed. */
  public Set<String> closingHeadIds() {
    return closingReplicas.headIds(view.observedBoxes());
  }

  /**
   * Returns the ids of the boxes of the formations in progress. The value is the time on the steady
   * clock, in nanoseconds, at which the box is expected to be ready by the engine specification.
   */
  public Map<String, Long> formingDueNanos() {
    Map<String, Long> dueNanos = new HashMap<>();
    for (Formation formation : formations.values()) {
      formation.memberIds().forEach(id -> dueNanos.put(id, formation.dueNanos()));
    }
    return dueNanos;
  }

  /** Returns true if a decision waits for recent status reports from engines. */
  public boolean needsReports() {
    return !unconfirmedIds.isEmpty();
  }

  /** Returns true if a decision waits for a recent status report from the engine of the box. */
  public boolean needsReportFrom(String boxId) {
    return unconfirmedIds.contains(boxId);
  }

  /** Returns true if a replica is being formed or closed, so that reports are useful. */
  public boolean isBusy() {
    return !formations.isEmpty() || !closingReplicas.isEmpty();
  }

  /** Returns the decision to convert replicas since the last call, or null if there was none. */
  public @Nullable Conversion takeConversion() {
    return conversion.takeUnreported();
  }

  /**
   * Returns the orders to give now.
   *
   * @param nowNanos the time on the steady clock, in nanoseconds
   * @param spec the engines of the service, not null
   * @param observedBoxes the boxes of the domain, not null
   * @param plan the planned replicas of every domain, not null
   * @param headsSeen the replicas whose heads this process has observed at any time, not null
   * @param demand the load of the models, not null
   * @return the orders, each for a box that can carry one out
   */
  public List<BoxOrder> decide(
      long nowNanos,
      EngineSpec spec,
      Collection<ObservedBox> observedBoxes,
      ReplicaPlan plan,
      Set<ReplicaId> headsSeen,
      Demand demand) {
    this.demand = demand;
    orders = new ArrayList<>();
    view = new DomainView(observedBoxes);
    unconfirmedIds.clear();
    Map<ReplicaId, ObservedReplica> observed = ObservedReplica.from(observedBoxes);
    closingReplicas.retain(observed.keySet());
    headlessReplicas.retain(observed.keySet());
    Set<ReplicaId> present = new HashSet<>(observed.keySet());
    present.addAll(formations.keySet());
    departedHeads.retain(present);

    formations.values().removeIf(formation -> !advance(formation, nowNanos));
    warmups.forgetOlder(nowNanos - timing.warmupNanos());
    for (ObservedReplica replica : observed.values()) {
      if (!formations.containsKey(replica.replica())) {
        reconcileReplica(replica, spec, headsSeen, nowNanos);
      }
    }
    List<ModelShape> models = sortByPressure(spec, plan);
    conversion.setRank(plan.rankOf(domain));
    closeReplicas(models, observed.values(), nowNanos);
    formMissing(models, nowNanos);
    formReserve(models, nowNanos);
    if (!needsReports()) {
      boolean isForming = !formations.isEmpty();
      hostPreparation
          .prepare(view, spec, models, demand, this::surplus, isForming, nowNanos)
          .forEach(order -> order(order, nowNanos));
      warmSpares(models, nowNanos);
    }
    return orders;
  }

  private void reconcileReplica(
      ObservedReplica replica, EngineSpec spec, Set<ReplicaId> headsSeen, long nowNanos) {
    ObservedBox head = replica.head();
    if (warmups.isInProgress(replica)) {
      view.bind(replica.members());
    } else if (head == null) {
      headlessReplicas
          .release(replica, view, headsSeen, this::askForReport, nowNanos)
          .forEach(order -> order(order, nowNanos));
    } else {
      reconcileHeadedReplica(replica, head, spec, nowNanos);
    }
  }

  /** Removes the orders to a box that has ended or restarted. */
  public void forget(String boxId) {
    recentOrders.forget(boxId);
    unansweredJoins.forget(boxId);
    hostPreparation.forget(boxId);
  }

  /** Records that an engine has accepted an order. */
  public void recordAccepted(BoxOrder order, long nowNanos) {
    recentOrders.recordAccepted(order, nowNanos);
    unansweredJoins.recordAnswered(order);
    departedHeads.recordAccepted(order);
  }

  /**
   * Records that an engine has rejected an order because it does not fit its state. If a head that
   * seems ready can't be opened, its replica is dissolved, so that its boxes serve in another one.
   */
  public void recordRejected(BoxOrder order, long nowNanos) {
    unansweredJoins.recordAnswered(order);
    if (order.verb() == Verb.OPEN && order.replica() != null) {
      closingReplicas.begin(order.replica(), true, nowNanos);
    }
  }

  /** Lets spare boxes load the weights that they will most likely need, from their hosts. */
  private void warmSpares(List<ModelShape> models, long nowNanos) {
    if (formations.isEmpty() && !view.isDissolving()) {
      List<ModelShape> byBoxes = new ArrayList<>(models);
      byBoxes.sort(
          Comparator.comparingInt(model -> -view.retainedCount(model.name()) * model.boxes()));
      warmups
          .begin(view.free(), byBoxes, this::askForReport, nowNanos)
          .forEach(order -> order(order, nowNanos));
    }
  }

  /** Orders the next step of a formation. Returns false if it is complete or abandoned. */
  private boolean advance(Formation formation, long nowNanos) {
    ReplicaId replica = formation.replica();
    List<ObservedBox> members = new ArrayList<>();
    for (String id : formation.memberIds()) {
      ObservedBox observed = view.observedById().get(id);
      if (observed == null || !observed.isFit()) {
        return abandon(formation, "member " + id + " is unavailable", nowNanos);
      }
      if (headlessReplicas.isBoundElsewhere(observed, replica, view, nowNanos)) {
        return abandon(formation, "member " + id + " is in another replica", nowNanos);
      }
      members.add(observed);
    }
    ObservedBox head = members.get(0);
    if (head.isIn(replica, MemberState.OPEN)) {
      // The formation is complete. From now on it is handled like any other replica.
      return false;
    }
    if (formation.isOverdue(nowNanos)) {
      return abandon(formation, "not ready in time", nowNanos);
    }
    view.bindRetained(members, formation.model().name());
    if (members.stream().allMatch(member -> member.isIn(replica, MemberState.READY))) {
      order(BoxOrder.of(head.box().id(), Verb.OPEN, replica, "all members are ready"), nowNanos);
      return true;
    }
    for (ObservedBox member : members) {
      if (!member.isMemberOf(replica)) {
        order(
            BoxOrder.join(
                member.box().id(),
                replica,
                formation.model().name(),
                formation.memberIds(),
                "forming"),
            nowNanos);
      }
    }
    return true;
  }

  private boolean abandon(Formation formation, String reason, long nowNanos) {
    Map<String, ObservedBox> observedById = view.observedById();
    ObservedBox head = observedById.get(formation.headId());
    if (head != null && head.isMemberOf(formation.replica()) && !head.isLost()) {
      view.bind(
          formation.memberIds().stream().map(observedById::get).filter(Objects::nonNull).toList());
      order(
          BoxOrder.of(
              head.box().id(), Verb.LEAVE, formation.replica(), "formation abandoned: " + reason),
          nowNanos);
    }
    return false;
  }

  /** Retains or dissolves a replica with a head that is not being formed by this reconciler. */
  private void reconcileHeadedReplica(
      ObservedReplica replica, ObservedBox head, EngineSpec spec, long nowNanos) {
    String modelName = replica.model();
    ModelShape model = modelName == null ? null : spec.findModel(modelName).orElse(null);
    Membership membership = head.box().membership();
    MemberState state = membership == null ? MemberState.BROKEN : membership.state();
    boolean isWhole = model != null && !replica.hasLostMember(model.boxes());
    if (isWhole
        && !replica.hasLeavingMember()
        && tryRetain(replica, head, state, model, nowNanos)) {
      return;
    }
    // Its boxes may join another replica only after its head has left this one.
    view.bind(replica.members());
    view.recordDissolving(!isWhole);
    if (head.isLost()) {
      // The members are free only once the head is certainly dead.
      return;
    }
    view.addSoonFree(replica.members());
    if (state.isServing()) {
      close(replica, head, state, isWhole, nowNanos);
    } else {
      order(
          BoxOrder.of(head.box().id(), Verb.LEAVE, replica.replica(), "replica is dissolved"),
          nowNanos);
    }
  }

  private boolean tryRetain(
      ObservedReplica replica,
      ObservedBox head,
      MemberState state,
      ModelShape model,
      long nowNanos) {
    boolean isClosed = closingReplicas.contains(replica.replica());
    if (state == MemberState.OPEN && !isClosed) {
      view.bindRetained(replica.members(), model.name());
      return true;
    }
    boolean isReady = state == MemberState.READY && replica.isEveryMemberReady();
    if (isReady && !isClosed && !mayLoseMember(replica, nowNanos)) {
      // An earlier owner of the domain formed it: it only needs to be opened.
      view.bindRetained(replica.members(), model.name());
      order(
          BoxOrder.of(head.box().id(), Verb.OPEN, replica.replica(), "formed by an earlier owner"),
          nowNanos);
      return true;
    }
    return false;
  }

  /** Returns true if an unanswered order may still make a member join a later replica. */
  private boolean mayLoseMember(ObservedReplica replica, long nowNanos) {
    return replica.members().stream()
        .map(member -> member.box().id())
        .anyMatch(id -> unansweredJoins.mayTakeAway(id, replica.replica(), nowNanos));
  }

  private void close(
      ObservedReplica replica,
      ObservedBox head,
      MemberState state,
      boolean isWhole,
      long nowNanos) {
    BoxOrder closing = closingReplicas.order(replica, head, state, isWhole, nowNanos);
    if (closing != null) {
      order(closing, nowNanos);
    }
  }

  /**
   * Closes replicas whose boxes are of more use in others, and sets the wanted number of replicas
   * of each model: before the first request those of the plan, afterwards the retained ones and the
   * best packing of the available boxes.
   */
  private void closeReplicas(
      List<ModelShape> models, Collection<ObservedReplica> observed, long nowNanos) {
    List<ObservedReplica> closable = observed.stream().filter(this::isClosable).toList();
    List<ObservedReplica> closed;
    if (demand.hasTraffic()) {
      DomainPacking packing = DomainPacking.of(models, demand, view.observedBoxes());
      Map<String, Integer> counts = new HashMap<>(view.retained());
      packing
          .fill(view.available(), view.retained())
          .forEach((name, more) -> counts.merge(name, more, Integer::sum));
      wantedCounts = counts;
      closed = conversion.choose(view, packing, wantedCounts, closable, nowNanos);
    } else {
      closed = reserveToClose(models, closable);
    }
    for (ObservedReplica replica : closed) {
      // The drain time is short after a loss: the wanted model has fewer replicas then, or none.
      closingReplicas.begin(replica.replica(), view.hasLoss(), nowNanos);
      close(replica, Objects.requireNonNull(replica.head()), MemberState.OPEN, true, nowNanos);
    }
  }

  private boolean isClosable(ObservedReplica replica) {
    ObservedBox head = replica.head();
    return head != null
        && replica.model() != null
        && head.box().isOpenHead()
        && !closingReplicas.contains(replica.replica());
  }

  /** Returns a replica beyond the plan if a planned one lacks boxes otherwise. */
  private List<ObservedReplica> reserveToClose(
      List<ModelShape> models, List<ObservedReplica> closable) {
    int available = view.availableCount();
    boolean isLacking =
        models.stream().anyMatch(model -> surplus(model) < 0 && model.boxes() > available);
    return closable.stream()
        .filter(replica -> isLacking && surplus(String.valueOf(replica.model())) > 0)
        .limit(1)
        .toList();
  }

  /**
   * Resets the wanted counts to those of the plan. Returns the models by falling pressure, and
   * those of equal pressure by rising coverage.
   */
  private List<ModelShape> sortByPressure(EngineSpec spec, ReplicaPlan plan) {
    List<ModelShape> models = new ArrayList<>(spec.models());
    models.removeIf(model -> model.share() <= 0);
    Map<String, Integer> planned = new HashMap<>();
    models.forEach(model -> planned.put(model.name(), plan.wanted(domain, model.name())));
    wantedCounts = planned;
    models.sort(
        Comparator.comparingDouble((ModelShape model) -> -demand.pressure(model.name()))
            .thenComparingDouble(this::coverage));
    return models;
  }

  private void formMissing(List<ModelShape> models, long nowNanos) {
    for (ModelShape model : models) {
      while (surplus(model) < 0) {
        if (!form(model, nowNanos)) {
          break;
        }
      }
    }
  }

  /** Forms a replica from unused boxes, of the model with the highest pressure that fits. */
  private void formReserve(List<ModelShape> models, long nowNanos) {
    boolean isComplete = models.stream().allMatch(model -> surplus(model) >= 0);
    if (!isComplete || view.isDissolving() || !closingReplicas.isEmpty()) {
      return;
    }
    for (ModelShape model : models) {
      if (form(model, nowNanos)) {
        return;
      }
    }
  }

  private int surplus(ModelShape model) {
    return surplus(model.name());
  }

  private int surplus(String model) {
    return view.retainedCount(model) - wantedCounts.getOrDefault(model, 0);
  }

  private double coverage(ModelShape model) {
    int count = wantedCounts.getOrDefault(model.name(), 0);
    return count == 0 ? 1 : (double) view.retainedCount(model.name()) / count;
  }

  private boolean form(ModelShape model, long nowNanos) {
    List<ObservedBox> members = view.pickMembers(model);
    if (members.size() < model.boxes()) {
      return false;
    }
    int loads = (int) members.stream().filter(observed -> observed.isCold(model)).count();
    // Members are idle while one of them loads weights. So the weights are loaded to the hosts
    // first, except in a domain that has neither weights nor traffic yet.
    if (loads > 0 && !hasNeitherWeightsNorTraffic()) {
      return false;
    }
    // This check follows the one for weights. The reverse order would request reports from all
    // boxes of a domain for as long as weights are missing.
    if (!view.isConfirmed()) {
      view.observedBoxes().forEach(this::askForReport);
      return false;
    }
    List<String> ids = members.stream().map(observed -> observed.box().id()).toList();
    long epoch = epochs.getAsLong();
    ReplicaId replica = ReplicaId.of(domain, model.name(), epoch, members.get(0).box());
    formations.put(
        replica,
        Formation.begin(
            replica, model, members, demand.hasTraffic(), timing.joinSlackNanos(), nowNanos));
    view.bindRetained(members, model.name());
    for (String id : ids) {
      order(BoxOrder.join(id, replica, model.name(), ids, "to serve " + model.name()), nowNanos);
    }
    return true;
  }

  /** Returns true before the first request, as long as no box of the domain has weights. */
  private boolean hasNeitherWeightsNorTraffic() {
    return !demand.hasTraffic() && view.observedBoxes().stream().allMatch(ObservedBox::isBlank);
  }

  private void order(BoxOrder order, long nowNanos) {
    if (recentOrders.isDue(order, nowNanos)) {
      orders.add(order);
      unansweredJoins.recordGiven(order, nowNanos);
      departedHeads.recordGiven(order);
    }
  }

  private void askForReport(ObservedBox observed) {
    unconfirmedIds.add(observed.box().id());
  }
}
