package org.shoreroad.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.LongSupplier;
import org.shoreroad.fleet.BoxOrder.Verb;

/**
 * Forms the replicas of one fabric domain and mends them.
 *
 * <p>It looks at what the boxes themselves say and gives the next orders; an order whose effect
 * does not show is given again. A box passes to another replica only after the head of its former
 * one was seen neither open nor closing and has left, or is dead: so no head ever runs requests
 * while a member belongs elsewhere, and a delayed opening finds nobody it fits. Used by one thread.
 *
 * @since 0.2
 */
public final class DomainReconciler {
  /** Join time of a box whose last model was the same, in seconds (users' pages). */
  private static final double KNOWN_JOIN_SECONDS = 0.2;

  /** Fraction of the load time that a load takes before the first request (users' pages). */
  private static final double EARLY_LOAD_PART = 0.1;

  private final String domain;
  private final ReconcilerTiming timing;
  private final LongSupplier epochs;
  private final Map<ReplicaId, Formation> formations = new LinkedHashMap<>();
  private final ClosingReplicas closings;
  private final Map<ReplicaId, Long> headlessSinceNanos = new HashMap<>();
  private final HostPreparation hosts = new HostPreparation();
  private final SpareWarmup warmings;
  private final ReplicaConversion conversion;
  private final RecentOrders orderBook;
  private List<BoxOrder> orders = new ArrayList<>();
  private DomainView view = new DomainView(List.of());
  private Demand demand = Demand.NONE;
  private Map<String, Integer> wanted = Map.of();
  private boolean needsReports;

  /**
   * Creates a keeper that knows nothing yet.
   *
   * @param domain the domain's name, not null
   * @param timing its times, not null
   * @param epochs gives a number higher than any given before, by whatever process, not null
   */
  public DomainReconciler(String domain, ReconcilerTiming timing, LongSupplier epochs) {
    this.domain = domain;
    this.timing = timing;
    this.epochs = epochs;
    this.closings = new ClosingReplicas(timing);
    this.warmings = new SpareWarmup(domain, epochs);
    this.conversion = new ReplicaConversion(domain);
    this.orderBook = new RecentOrders(timing.orderRepeatNanos());
  }

  /** Returns the heads whose closing is waited for. */
  public Set<String> closingHeadIds() {
    return closings.headIds(view.observedBoxes());
  }

  /**
   * Returns the boxes of the formations in progress, with the time on the steady clock at which
   * each is expected to be ready by the engines' figures.
   */
  public Map<String, Long> formingDueNanos() {
    Map<String, Long> dueNanos = new HashMap<>();
    for (Formation formation : formations.values()) {
      formation.memberIds().forEach(id -> dueNanos.put(id, formation.dueNanos()));
    }
    return dueNanos;
  }

  /** Returns true if a formation waits until the engines themselves have said where they stand. */
  public boolean needsReports() {
    return needsReports;
  }

  /** Returns true if a formation or a closing is under way, so that the boxes are worth asking. */
  public boolean isBusy() {
    return !formations.isEmpty() || !closings.isEmpty();
  }

  /**
   * Returns the orders to give now.
   *
   * @param nowNanos the steady clock
   * @param spec the engines of the service, not null
   * @param observedBoxes the boxes of the domain, not null
   * @param plan what every domain is to hold, not null
   * @param headsSeen the replicas whose heads were seen by this process at any time
   * @param demand how pressed the models are, not null
   * @return the orders, each for a box that is fit to take one
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
    needsReports = false;
    Map<ReplicaId, ObservedReplica> observed = ObservedReplica.from(observedBoxes);
    closings.retain(observed.keySet());
    headlessSinceNanos.keySet().retainAll(observed.keySet());

    formations.values().removeIf(formation -> !advance(formation, nowNanos));
    warmings.forgetOlder(nowNanos - timing.warmingNanos());
    for (ObservedReplica replica : observed.values()) {
      if (!formations.containsKey(replica.replica())) {
        keepAny(replica, spec, headsSeen, nowNanos);
      }
    }
    List<ModelShape> models = byNeed(spec, plan);
    makeRoom(models, observed.values(), nowNanos);
    formMissing(models, nowNanos);
    formReserve(models, nowNanos);
    if (!needsReports) {
      boolean isChanging = !formations.isEmpty();
      hosts
          .prepare(view, spec, models, demand, this::surplus, isChanging, nowNanos)
          .forEach(order -> order(order, nowNanos));
      warmSpares(models, nowNanos);
    }
    return orders;
  }

  private void keepAny(
      ObservedReplica replica, EngineSpec spec, Set<ReplicaId> headsSeen, long nowNanos) {
    ObservedBox head = replica.head();
    if (warmings.isUnderWay(replica)) {
      view.bind(replica.members());
    } else if (head == null) {
      keepHeadless(replica, headsSeen, nowNanos);
    } else {
      keep(replica, head, spec, nowNanos);
    }
  }

  /** Forgets what was ordered of a box that is gone or has started again. */
  public void forget(String boxId) {
    orderBook.forget(boxId);
    hosts.forget(boxId);
  }

  /** Notes that an engine said that it carries an order out. */
  public void recordAccepted(BoxOrder order, long nowNanos) {
    orderBook.recordAccepted(order, nowNanos);
  }

  /**
   * Notes that an order does not fit an engine's state. A head that can't be opened though it seems
   * ready is let go, so that its boxes serve in another formation.
   */
  public void recordRejected(BoxOrder order, long nowNanos) {
    if (order.verb() == Verb.OPEN && order.replica() != null) {
      closings.begin(order.replica(), true, nowNanos);
    }
  }

  /** Lets spare boxes take the weights from their hosts that they would most likely need. */
  private void warmSpares(List<ModelShape> models, long nowNanos) {
    if (formations.isEmpty() && !view.isDissolving()) {
      List<ModelShape> byBoxes = new ArrayList<>(models);
      byBoxes.sort(
          Comparator.comparingInt(model -> -view.retainedCount(model.name()) * model.boxes()));
      warmings.begin(view.free(), byBoxes, nowNanos).forEach(order -> order(order, nowNanos));
    }
  }

  /** Takes a formation a step further; returns false if it is done or given up. */
  private boolean advance(Formation formation, long nowNanos) {
    ReplicaId replica = formation.replica();
    List<ObservedBox> members = new ArrayList<>();
    for (String id : formation.memberIds()) {
      ObservedBox observed = view.observedById().get(id);
      if (observed == null || !observed.isFit()) {
        return giveUp(formation, "member " + id + " is not fit", nowNanos);
      }
      members.add(observed);
    }
    ObservedBox head = members.get(0);
    if (head.isIn(replica, MemberState.OPEN)) {
      // From now on it is kept as any standing replica.
      return false;
    }
    if (formation.isOverdue(nowNanos)) {
      return giveUp(formation, "not ready in time", nowNanos);
    }
    view.bindRetained(members, formation.model().name());
    if (members.stream().allMatch(member -> member.isIn(replica, MemberState.READY))) {
      order(BoxOrder.of(head.box().id(), Verb.OPEN, replica, "all members are ready"), nowNanos);
      return true;
    }
    for (ObservedBox member : members) {
      if (!isMemberOf(member, replica)) {
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

  private boolean giveUp(Formation formation, String why, long nowNanos) {
    Map<String, ObservedBox> observedById = view.observedById();
    ObservedBox head = observedById.get(formation.headId());
    if (head != null && isMemberOf(head, formation.replica()) && !head.isLost()) {
      view.bind(
          formation.memberIds().stream().map(observedById::get).filter(Objects::nonNull).toList());
      order(
          BoxOrder.of(head.box().id(), Verb.LEAVE, formation.replica(), "given up: " + why),
          nowNanos);
    }
    return false;
  }

  /**
   * Decides on members whose head is not among the boxes: one that was seen is dead or belongs
   * elsewhere by now, and the members are free; one that never was may still be open somewhere.
   */
  private void keepHeadless(ObservedReplica replica, Set<ReplicaId> headsSeen, long nowNanos) {
    if (headsSeen.contains(replica.replica())) {
      // A member that was cut off together with its head did not make the head break.
      view.bind(replica.members().stream().filter(member -> !member.isSteady()).toList());
      return;
    }
    long sinceNanos = headlessSinceNanos.computeIfAbsent(replica.replica(), id -> nowNanos);
    if (nowNanos - sinceNanos < timing.headlessNanos()) {
      view.bind(replica.members());
    }
  }

  /** Decides on a replica that is not being formed by this keeper. */
  private void keep(ObservedReplica replica, ObservedBox head, EngineSpec spec, long nowNanos) {
    String modelName = replica.model();
    ModelShape model = modelName == null ? null : spec.findModel(modelName).orElse(null);
    Membership membership = head.box().membership();
    MemberState state = membership == null ? MemberState.BROKEN : membership.state();
    boolean isWhole = model != null && !replica.hasLostMember(model.boxes());
    if (isWhole
        && !replica.hasLeavingMember()
        && keepWhole(replica, head, state, model, nowNanos)) {
      return;
    }
    // Until its head has let go, nobody of it may be joined elsewhere.
    view.bind(replica.members());
    view.recordDissolving(!isWhole);
    if (head.isLost()) {
      // Its members are free only once it is dead for certain.
      return;
    }
    view.addComingFree(replica.members());
    if (state.isServing()) {
      close(replica, head, state, isWhole, nowNanos);
    } else {
      order(BoxOrder.of(head.box().id(), Verb.LEAVE, replica.replica(), "let go"), nowNanos);
    }
  }

  private boolean keepWhole(
      ObservedReplica replica,
      ObservedBox head,
      MemberState state,
      ModelShape model,
      long nowNanos) {
    boolean isClosed = closings.contains(replica.replica());
    if (state == MemberState.OPEN && !isClosed) {
      view.bindRetained(replica.members(), model.name());
      return true;
    }
    if (state == MemberState.READY && replica.isEveryMemberReady() && !isClosed) {
      // Left ready by an earlier keeper: it only needs to be opened.
      view.bindRetained(replica.members(), model.name());
      order(BoxOrder.of(head.box().id(), Verb.OPEN, replica.replica(), "found ready"), nowNanos);
      return true;
    }
    return false;
  }

  private void close(
      ObservedReplica replica,
      ObservedBox head,
      MemberState state,
      boolean isWhole,
      long nowNanos) {
    BoxOrder closing = closings.order(replica, head, state, isWhole, nowNanos);
    if (closing != null) {
      order(closing, nowNanos);
    }
  }

  /**
   * Closes replicas whose boxes do more elsewhere, and settles how many replicas of each model the
   * domain is to hold: before the first request what the plan says, then what stands and what its
   * free boxes do best.
   */
  private void makeRoom(
      List<ModelShape> models, Collection<ObservedReplica> observed, long nowNanos) {
    List<ObservedReplica> givable = observed.stream().filter(this::isGivable).toList();
    List<ObservedReplica> closed;
    if (demand.hasTraffic()) {
      DomainPacking packing = DomainPacking.of(models, demand, view.observedBoxes());
      Map<String, Integer> counts = new HashMap<>(view.retained());
      packing
          .fill(view.available(), view.retained())
          .forEach((name, more) -> counts.merge(name, more, Integer::sum));
      wanted = counts;
      closed = conversion.choose(view, packing, wanted, givable, nowNanos);
    } else {
      closed = reserveToGiveUp(models, givable);
    }
    for (ObservedReplica replica : closed) {
      // After a loss callers of the wanted model have fewer replicas, or none.
      closings.begin(replica.replica(), view.hasLoss(), nowNanos);
      close(replica, Objects.requireNonNull(replica.head()), MemberState.OPEN, true, nowNanos);
    }
  }

  private boolean isGivable(ObservedReplica replica) {
    ObservedBox head = replica.head();
    return head != null
        && replica.model() != null
        && head.box().isOpenHead()
        && !closings.contains(replica.replica());
  }

  /** Returns a replica beyond the plan if a wanted one has no boxes otherwise. */
  private List<ObservedReplica> reserveToGiveUp(
      List<ModelShape> models, List<ObservedReplica> givable) {
    int available = view.availableCount();
    boolean isLacking =
        models.stream().anyMatch(model -> surplus(model) < 0 && model.boxes() > available);
    return givable.stream()
        .filter(replica -> isLacking && surplus(String.valueOf(replica.model())) > 0)
        .limit(1)
        .toList();
  }

  /** Returns the models, the most pressed first; of equal ones the one that lacks the most. */
  private List<ModelShape> byNeed(EngineSpec spec, ReplicaPlan plan) {
    List<ModelShape> models = new ArrayList<>(spec.models());
    models.removeIf(model -> model.share() <= 0);
    Map<String, Integer> planned = new HashMap<>();
    models.forEach(model -> planned.put(model.name(), plan.wanted(domain, model.name())));
    wanted = planned;
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

  /** Lets the boxes that nobody wants serve too, for the most pressed model that they can hold. */
  private void formReserve(List<ModelShape> models, long nowNanos) {
    boolean isComplete = models.stream().allMatch(model -> surplus(model) >= 0);
    if (!isComplete || view.isDissolving() || !closings.isEmpty()) {
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
    return view.retainedCount(model) - wanted.getOrDefault(model, 0);
  }

  private double coverage(ModelShape model) {
    int count = wanted.getOrDefault(model.name(), 0);
    return count == 0 ? 1 : (double) view.retainedCount(model.name()) / count;
  }

  private boolean form(ModelShape model, long nowNanos) {
    List<ObservedBox> members = view.pickMembers(model);
    if (members.size() < model.boxes()) {
      return false;
    }
    int loads = (int) members.stream().filter(observed -> observed.isCold(model)).count();
    // A load keeps all members idle: the weights are put on the hosts first, but at the very start.
    if (loads > 0 && !isFresh()) {
      return false;
    }
    // This check follows the one for weights. The other order would request reports from all boxes
    // of a domain for as long as weights are missing.
    if (!view.isConfirmed()) {
      needsReports = true;
      return false;
    }
    List<String> ids = members.stream().map(observed -> observed.box().id()).toList();
    long epoch = epochs.getAsLong();
    ReplicaId replica = ReplicaId.of(domain, model.name(), epoch, members.get(0).box());
    double seconds = loads > 0 ? model.loadSeconds() * loads : model.warmSeconds();
    long limitNanos = (long) (seconds * 1e9) + timing.joinSlackNanos();
    long dueNanos = nowNanos + joinNanos(members, model);
    Formation formation = new Formation(replica, model, ids, nowNanos, dueNanos, limitNanos);
    formations.put(replica, formation);
    view.bindRetained(members, model.name());
    for (String id : ids) {
      order(BoxOrder.join(id, replica, model.name(), ids, "to hold " + model.name()), nowNanos);
    }
    return true;
  }

  /** Returns true if no box of the domain has weights and there was no request yet. */
  private boolean isFresh() {
    return !demand.hasTraffic() && view.observedBoxes().stream().allMatch(ObservedBox::isBlank);
  }

  /** Returns the join time of the slowest box, in nanoseconds. */
  private long joinNanos(List<ObservedBox> members, ModelShape model) {
    int cost = members.stream().mapToInt(observed -> observed.joinCost(model)).max().orElse(0);
    double seconds =
        switch (cost) {
          case 0 -> KNOWN_JOIN_SECONDS;
          case 1 -> model.warmSeconds();
          default -> model.loadSeconds() * (demand.hasTraffic() ? 1 : EARLY_LOAD_PART);
        };
    return (long) (seconds * 1e9);
  }

  private void order(BoxOrder order, long nowNanos) {
    if (orderBook.isDue(order, nowNanos)) {
      orders.add(order);
    }
  }

  private static boolean isMemberOf(ObservedBox observed, ReplicaId replica) {
    Membership membership = observed.box().membership();
    return membership != null && membership.replica().equals(replica);
  }
}
